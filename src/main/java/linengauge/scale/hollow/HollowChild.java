package linengauge.scale.hollow;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A process of a run: its input says what to do, a line each; its output is one {@link
 * HollowSample} a line. It ends as its input does, so that none is left when the run is gone.
 */
public final class HollowChild {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long EACH_MS = 250;
  private static final int FAILED = 1;

  /** What a kind of process does. */
  interface Part extends AutoCloseable {
    void start() throws IOException;

    /** A line of the input; those that all kinds know have been seen to. */
    void told(String[] words) throws IOException;

    void cut(HollowEvent.Direction direction);

    HollowSample sample(boolean watches, long heapKb);

    @Override
    void close();
  }

  private final Part part;
  private volatile boolean watches;
  private volatile boolean heapAsked;

  private HollowChild(Part part) {
    this.part = part;
  }

  /**
   * Runs until the input ends.
   *
   * @param controls a control machine; else fronts
   */
  public static int run(Path specFile, boolean controls) throws IOException {
    HollowSpec spec = JSON.readValue(Files.readAllBytes(specFile), HollowSpec.class);
    try (Part part = controls ? new HollowControl(spec) : new HollowFronts(spec)) {
      new HollowChild(part).run();
      return 0;
    } catch (IOException e) {
      System.err.println("hollow process " + spec.index() + ": " + e.getMessage());
      return FAILED;
    }
  }

  private void run() throws IOException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    Thread samples = new Thread(this::samples, "samples");
    samples.setDaemon(true);
    samples.start();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] words = line.split(" ");
      switch (words[0]) {
        case "go" -> part.start();
        case "watch" -> watches = words[1].equals("on");
        case "heap" -> heapAsked = true;
        case "cut" -> part.cut(HollowEvent.Direction.valueOf(words[1]));
        case "heal" -> part.cut(null);
        default -> part.told(words);
      }
    }
  }

  private void samples() {
    try {
      while (true) {
        boolean heap = heapAsked;
        heapAsked = false;
        HollowSample sample = part.sample(watches, heap ? ProcessMeter.heapKb() : -1);
        System.out.println(JSON.writeValueAsString(sample));
        Thread.sleep(EACH_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      System.err.println("hollow process: no samples any more: " + e.getMessage());
    }
  }
}
