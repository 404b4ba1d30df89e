package linengauge.scale.fronts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import linengauge.standin.PlatformBox;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;

/** One real front with stand-ins for its boxes and its journal service. */
final class FrontTestbed implements AutoCloseable {
  private static final int BOXES = 20;

  private final FrontPlan plan;
  private final Path folder;
  private final List<PlatformBox> boxes = new ArrayList<>();
  private final PlatformJournal journal;
  private final int port;
  private ServeProcess front;

  FrontTestbed(FrontPlan plan) throws IOException, InterruptedException {
    this.plan = plan;
    folder = Files.createTempDirectory("linengauge-scale");
    for (int i = 0; i < BOXES; i++) {
      boxes.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    Path configuration = folder.resolve("front.json");
    ServeConfiguration.write(
        configuration,
        port,
        journal.port(),
        boxes.stream().map(PlatformBox::port).toList(),
        plan.maxDescriptors());
    try {
      start();
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  private void start() throws IOException, InterruptedException {
    front =
        new ServeProcess(
            plan.runCommand(),
            plan.root(),
            folder.resolve("front.json"),
            folder.resolve("front.log"),
            port);
    front.awaitReady();
  }

  /** Kills the front and restarts it on the same port. */
  void restartAfterKill() throws IOException, InterruptedException {
    front.close();
    start();
  }

  ServeProcess front() {
    return front;
  }

  int port() {
    return port;
  }

  List<PlatformBox> boxes() {
    return boxes;
  }

  static String tag(long id) {
    return String.format("%016x", id);
  }

  /** The index of the box at which a viewing plays, or -1 if there is none. */
  int boxOf(long id) {
    for (int i = 0; i < boxes.size(); i++) {
      if (boxes.get(i).playing().containsKey(tag(id))) {
        return i;
      }
    }
    return -1;
  }

  @Override
  public void close() throws IOException {
    if (front != null) {
      front.close();
    }
    for (PlatformBox box : boxes) {
      box.close();
    }
    journal.close();
    for (String name : List.of("front.json", "front.log")) {
      Files.deleteIfExists(folder.resolve(name));
    }
    Files.deleteIfExists(folder);
  }
}
