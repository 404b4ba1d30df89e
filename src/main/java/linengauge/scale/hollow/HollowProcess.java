package linengauge.scale.hollow;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linengauge.Span;

/** A process of a run, as the run holds it. */
final class HollowProcess implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String MAIN = "linengauge.cli.Main";

  /** Samples kept: four a second for more than an hour. */
  private static final int MOST_SAMPLES = 20_000;

  private final HollowSpec spec;
  private final int region;
  private final Process process;
  private final List<HollowSample> samples = new ArrayList<>();
  private boolean killed;

  /**
   * Starts it.
   *
   * @param subcommand `hollow-fronts` or `hollow-control`
   */
  HollowProcess(HollowSpec spec, String subcommand, int region, int heapMb, Path folder)
      throws IOException {
    this.spec = spec;
    this.region = region;
    String name = subcommand + "-" + spec.method() + "-" + spec.index();
    Path specFile = folder.resolve(name + ".json");
    Files.write(specFile, JSON.writeValueAsBytes(spec));
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:ActiveProcessorCount=1",
                "-cp",
                System.getProperty("java.class.path"),
                MAIN,
                "drill",
                subcommand,
                specFile.toString())
            .redirectError(folder.resolve(name + ".log").toFile())
            .start();
    Thread reader = new Thread(this::read, name);
    reader.setDaemon(true);
    reader.start();
  }

  private void read() {
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        add(JSON.readValue(line, HollowSample.class));
      }
    } catch (IOException e) {
      return; // it has ended, or was killed within a line
    }
  }

  private synchronized void add(HollowSample sample) {
    if (samples.size() < MOST_SAMPLES) {
      samples.add(sample);
    }
  }

  /** All of that time, by the wall's clock in milliseconds. */
  synchronized List<HollowSample> samples(long from, long until) {
    return samples.stream().filter(s -> s.at() >= from && s.at() <= until).toList();
  }

  /** Null where there is none yet. */
  synchronized HollowSample last() {
    return samples.isEmpty() ? null : samples.get(samples.size() - 1);
  }

  /** Told to it as a line of its input; nothing where it has ended. */
  void say(String line) {
    try {
      OutputStream to = process.getOutputStream();
      to.write((line + "\n").getBytes(StandardCharsets.UTF_8));
      to.flush();
    } catch (IOException e) {
      return; // it has ended, which the run notices by itself
    }
  }

  /**
   * Stands still for so long. A shell of its own wakes it, so that it ends with its input even
   * where the run is gone by then.
   */
  void freeze(Span lasting) throws IOException {
    long pid = process.pid();
    String script = "kill -STOP " + pid + "; sleep " + lasting.seconds() + "; kill -CONT " + pid;
    new ProcessBuilder("sh", "-c", script)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  void kill() {
    killed = true;
    process.destroyForcibly();
  }

  boolean isKilled() {
    return killed;
  }

  /** It ended though nobody told it to. */
  boolean hasFailed() {
    return !killed && !process.isAlive();
  }

  HollowSpec spec() {
    return spec;
  }

  int region() {
    return region;
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(2, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
