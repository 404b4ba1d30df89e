package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import linengauge.cli.Main;
import linengauge.standin.PlatformBox;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;
import linengauge.standin.PlatformViewers;
import linengauge.standin.PlatformViewers.FrontMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Fronts as processes of their own, with real signals: moved, frozen, killed, told to end; judged
 * by what their peers saw.
 */
@Timeout(120)
class ServeProcessesTest {
  private static final int PLAYS = 9;
  private static final int OVER = 12;

  private final class Front {
    private final int port;
    private final Path file;
    private final Path classes;
    private Process process;

    private Front(int number) throws Exception {
      port = PlatformTryOut.freePort();
      file = dir.resolve("front-" + number + ".json");
      classes = dir.resolve("classes-" + number + ".log");
      post(journal);
    }

    private void post(PlatformJournal from) throws Exception {
      Files.writeString(
          file,
          TryOut.configuration(
              port, from.port(), boxes.stream().mapToInt(PlatformBox::port).toArray()));
    }

    private void start() throws Exception {
      ProcessBuilder run =
          new ProcessBuilder(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-Xmx64m",
              "-XX:TieredStopAtLevel=1",
              "-Xlog:class+load:file=" + classes,
              "-cp",
              System.getProperty("java.class.path"),
              Main.class.getName(),
              "serve");
      run.environment().put("PROXY_CONFIG", file.toString());
      process =
          run.redirectErrorStream(true).redirectOutput(dir.resolve("log-" + port).toFile()).start();
      until(this::answersATest);
    }

    private boolean answersATest() {
      try (var v = new PlatformViewers(port)) {
        v.sendProbe();
        FrontMessage s = v.next(2000);
        return s != null && s.type() == 53;
      } catch (Exception e) {
        return false;
      }
    }

    private void signal(String name) throws Exception {
      assertEquals(
          0,
          new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
    }
  }

  @TempDir private Path dir;
  private final List<PlatformBox> boxes = new ArrayList<>();
  private final List<Front> fronts = new ArrayList<>();
  private PlatformJournal journal;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < 3; i++) {
      boxes.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    for (int i = 0; i < 3; i++) {
      fronts.add(new Front(i));
    }
    for (Front f : fronts) {
      f.start();
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (Front f : fronts) {
      f.process.destroyForcibly().waitFor();
    }
    for (PlatformBox b : boxes) {
      b.close();
    }
    journal.close();
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 2000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private boolean playsAnywhere(long id) {
    return boxes.stream().anyMatch(b -> b.playing().containsKey(tag(id)));
  }

  /** What is said until so many ids have been spoken of. */
  private static Map<Long, List<FrontMessage>> said(PlatformViewers v, int ids) throws Exception {
    Map<Long, List<FrontMessage>> all = new HashMap<>();
    while (all.size() < ids) {
      FrontMessage s = v.next(20_000);
      assertTrue(s != null && s != FrontMessage.CLOSED, "heard of " + all.keySet());
      all.computeIfAbsent(s.id(), i -> new ArrayList<>()).add(s);
    }
    for (FrontMessage s = v.next(300); s != null; s = v.next(1)) {
      all.computeIfAbsent(s.id(), i -> new ArrayList<>()).add(s);
    }
    return all;
  }

  @Test
  void oneIsFrozenOneKilledAndStartedAgainOneMovedAndEachKeepsItsWord() throws Exception {
    Front frozen = fronts.get(0);
    Front killed = fronts.get(1);
    Front moved = fronts.get(2);
    try (var a = new PlatformViewers(frozen.port);
        var next = new PlatformJournal(1)) {
      // Frozen past its viewers' patience: each is answered once, and no box is left playing for
      // nobody.
      frozen.signal("STOP");
      for (long id = 100; id < 110; id++) {
        a.send(PlatformViewers.setUp(id, "lesson", 300, ""));
      }
      Thread.sleep(700);
      // Meanwhile another is killed with viewings that play, and starts anew: they are handed to
      // it, and their ends told.
      try (var b = new PlatformViewers(killed.port)) {
        for (long id = 200; id < 206; id++) {
          b.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
        }
        said(b, 6)
            .forEach(
                (id, s) ->
                    assertEquals(List.of(PLAYS), s.stream().map(FrontMessage::type).toList()));
      }
      killed.process.destroyForcibly().waitFor();
      frozen.signal("CONT");
      said(a, 10)
          .forEach(
              (id, s) ->
                  assertEquals(
                      List.of(OVER), s.stream().map(FrontMessage::type).toList(), "viewing " + id));
      for (long id = 100; id < 110; id++) {
        long gone = id;
        until(() -> !playsAnywhere(gone));
      }
      killed.start();
      try (var b = new PlatformViewers(killed.port)) {
        for (long id = 200; id < 206; id++) {
          for (int box = 0; box < 3; box++) {
            if (boxes.get(box).playing().containsKey(tag(id))) {
              b.send(
                  PlatformViewers.setUp(
                      id, "lesson", 0, ";at:" + String.format("s-%08x", box + 1)));
            }
          }
        }
        until(
            () ->
                boxes.stream()
                    .filter(x -> !x.playing().isEmpty())
                    .allMatch(x -> x.connections() > 0));
        Thread.sleep(300);
        for (PlatformBox box : boxes) {
          for (String t : List.copyOf(box.playing().keySet())) {
            box.sendToAll(
                ("{\"verb\":\"FINISH\",\"tag\":\"" + t + "\",\"opts\":{},\"rc\":16}\n").getBytes());
          }
        }
        said(b, 6)
            .forEach(
                (id, s) ->
                    assertEquals(
                        List.of(OVER),
                        s.stream().map(FrontMessage::type).toList(),
                        "viewing " + id));
      }
      // SIGHUP moves the journal service: what the new one tells holds.
      moved.post(next);
      moved.signal("HUP");
      until(() -> next.requestedPositions.contains(1L));
      next.publish(
          PlatformJournal.record(1, boxes.get(0).port(), 1, 0, 0),
          PlatformJournal.record(2, boxes.get(1).port(), 1, 1, 0));
      Thread.sleep(300);
      long before = boxes.get(0).receivedCount("START") + boxes.get(1).receivedCount("START");
      try (var c = new PlatformViewers(moved.port)) {
        for (long id = 300; id < 306; id++) {
          c.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
        }
        said(c, 6);
        // SIGTERM: what still comes is answered, and the process ends in order.
        moved.signal("TERM");
        c.send(PlatformViewers.setUp(306, "lesson", 5000, ""));
        assertTrue(said(c, 1).containsKey(306L));
      }
      assertEquals(
          before,
          boxes.get(0).receivedCount("START") + boxes.get(1).receivedCount("START"),
          "both drain");
      assertEquals(0, moved.process.waitFor());
    }
  }

  @Test
  void serveLoadsNoClassOfOtherParts() throws Exception {
    try (var v = new PlatformViewers(fronts.get(0).port)) {
      v.send(PlatformViewers.setUp(7, "lesson", 5000, ""));
      said(v, 1);
    }
    var packages = new TreeSet<String>();
    for (String line : Files.readAllLines(fronts.get(0).classes)) {
      int at = line.indexOf(" linengauge.");
      if (at >= 0) {
        String name = line.substring(at + 1, line.indexOf(' ', at + 1));
        packages.add(name.substring(0, name.lastIndexOf('.')));
      }
    }
    assertTrue(
        packages.containsAll(List.of("linengauge", "linengauge.platform", "linengauge.session")),
        packages.toString());
    // Membership by lease, the log and what measures them are off in `serve`: not one class of
    // them.
    for (String off : List.of("membership", "lease", "consensus", "scale", "udp")) {
      assertTrue(
          packages.stream().noneMatch(name -> (name + ".").startsWith("linengauge." + off + ".")),
          off + " in " + packages);
    }
    packages.removeAll(
        List.of(
            "linengauge",
            "linengauge.briefing",
            "linengauge.carry",
            "linengauge.cli",
            "linengauge.platform",
            "linengauge.platform.codec",
            "linengauge.platform.keep",
            "linengauge.session"));
    assertEquals(new TreeSet<>(), packages);
  }
}
