package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import linengauge.standin.PlatformBox;
import linengauge.standin.PlatformBox.Behavior;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;
import linengauge.standin.PlatformViewers;
import linengauge.standin.PlatformViewers.FrontMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A front of the platform on loopback with stand-ins of viewers, boxes and journal service; judged
 * by what they saw.
 */
@Timeout(60)
class ServiceTest {
  private static final int PLAYS = 9;
  private static final int OVER = 12;
  @TempDir private Path dir;
  private final List<PlatformBox> boxes = new ArrayList<>();
  private PlatformJournal journal;
  private Path file;
  private int port;
  private Service service;

  @BeforeEach
  void start() throws Exception {
    System.setProperty("vertx.disableDnsResolver", "true");
    for (int i = 0; i < 3; i++) {
      boxes.add(new PlatformBox());
    }
    journal = new PlatformJournal(1);
    port = PlatformTryOut.freePort();
    file = dir.resolve("config.json");
    Files.writeString(file, TryOut.configuration(port, journal.port(), ports()));
    service = new Service(file, Configuration.read(file));
    service.begin().join();
  }

  private int[] ports() {
    return boxes.stream().mapToInt(PlatformBox::port).toArray();
  }

  @AfterEach
  void stop() throws Exception {
    service.tellToStop();
    assertEquals("", service.await());
    for (PlatformBox b : boxes) {
      b.close();
    }
    journal.close();
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 1000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  private static String tag(long id) {
    return String.format("%016x", id);
  }

  private PlatformBox boxOf(long id) {
    return boxes.stream().filter(b -> b.playing().containsKey(tag(id))).findFirst().orElseThrow();
  }

  private static FrontMessage answer(PlatformViewers v, long id) throws InterruptedException {
    for (FrontMessage s = v.next(10_000); s != null; s = v.next(10_000)) {
      if (s.id() == id || s == FrontMessage.CLOSED) {
        return s;
      }
    }
    return null;
  }

  @Test
  void aViewingJoinsPlaysAndEndsByItsBoxOrByItsViewer() throws Exception {
    try (var v = new PlatformViewers(port)) {
      v.sendProbe();
      assertEquals(53, v.next(5000).type());
      v.send(PlatformViewers.setUp(1, "lesson", 5000, ""));
      FrontMessage s = answer(v, 1);
      assertEquals(PLAYS, s.type());
      assertEquals("made for " + tag(1) + "\r\nm=audio of 1\r\n", s.description());
      boxOf(1).end(tag(1), 16);
      assertEquals(OVER, answer(v, 1).type());
      v.send(PlatformViewers.setUp(2, "lesson", 5000, ""));
      assertEquals(PLAYS, answer(v, 2).type());
      PlatformBox at = boxOf(2);
      v.end(2, 16);
      until(() -> at.playing().isEmpty());
    }
  }

  /**
   * None of them is passed on as an answer; the viewing plays at another box, and nothing is
   * answered twice.
   */
  @ParameterizedTest
  @EnumSource(
      names = {
        "ERRORS",
        "FULL",
        "NOISE",
        "STOPS_SHORT",
        "ENDLESS",
        "RESETS",
        "TWICE",
        "NO_DESCRIPTION",
        "SILENT"
      })
  void whateverOneBoxDoesEachRequestHasOneAnswer(Behavior mood) throws Exception {
    boxes.get(0).behavior = mood;
    Map<Long, Integer> answers = new HashMap<>();
    Map<Long, String> descriptions = new HashMap<>();
    try (var v = new PlatformViewers(port)) {
      for (long id = 1; id <= 12; id++) {
        v.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
      }
      until(
          () -> {
            try {
              for (FrontMessage s = v.next(1); s != null; s = v.next(1)) {
                answers.merge(s.id(), 1, Integer::sum);
                if (s.type() == PLAYS) {
                  descriptions.put(s.id(), s.description());
                }
              }
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
            return answers.size() == 12;
          });
      Thread.sleep(200);
      for (FrontMessage s = v.next(1); s != null; s = v.next(1)) {
        answers.merge(s.id(), 1, Integer::sum);
      }
    }
    assertEquals(12, answers.values().stream().mapToInt(n -> n).sum(), answers.toString());
    descriptions.forEach((id, d) -> assertTrue(d.startsWith("made for " + tag(id)), d));
    assertTrue(descriptions.size() >= 8, descriptions.toString());
  }

  @Test
  void theViewersOfABoxThatDiesAreToldAlsoOnAnotherConnection() throws Exception {
    long id = 5;
    try (var v = new PlatformViewers(port)) {
      v.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
      assertEquals(PLAYS, answer(v, id).type());
    }
    PlatformBox at = boxOf(id);
    Thread.sleep(200);
    at.close();
    try (var tester = new PlatformViewers(port);
        var other = new PlatformViewers(port)) {
      tester.sendProbe();
      assertEquals(53, tester.next(5000).type());
      other.send(PlatformViewers.setUp(99, "lesson", 5000, ""));
      List<FrontMessage> said = new ArrayList<>(List.of(other.next(10_000), other.next(10_000)));
      said.removeIf(s -> s.id() == 99);
      assertEquals(List.of(new FrontMessage(OVER, id, 41, null, null)), said);
      assertEquals(null, tester.next(100), "who only tests the front is no viewer");
    }
  }

  /**
   * What a box said on a connection as it closed is said again on the next one, which must come by
   * itself.
   */
  @Test
  void aConnectionThatClosesIsFollowedByANewOneWhileViewingsStandThere() throws Exception {
    try (var v = new PlatformViewers(port)) {
      for (long id = 6; id < 18; id++) {
        v.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
      }
      until(() -> boxes.stream().mapToInt(b -> b.playing().size()).sum() > 8);
      PlatformBox at =
          boxes.stream()
              .filter(b -> b.connections() > 1 && !b.playing().isEmpty())
              .findFirst()
              .orElseThrow();
      long before = at.connections();
      at.playing().values().iterator().next().close();
      until(() -> at.connections() > before);
    }
  }

  @Test
  void aViewingHandedOverIsHeldAndItsEndIsTold() throws Exception {
    try (var v = new PlatformViewers(port)) {
      boxes.get(1).playing().put(tag(7), new java.net.Socket());
      v.send(PlatformViewers.setUp(7, "lesson", 5000, ";at:s-00000002"));
      v.send(PlatformViewers.setUp(7, "lesson", 5000, ";at:s-00000002"));
      v.send(PlatformViewers.setUp(8, "lesson", 5000, ";at:s-0000ffff"));
      assertEquals(OVER, answer(v, 8).type(), "a box that nobody knows");
      until(() -> boxes.get(1).connections() > 0);
      boxes
          .get(1)
          .sendToAll(
              ("{\"verb\":\"FINISH\",\"tag\":\"" + tag(7) + "\",\"opts\":{},\"rc\":16}\n")
                  .getBytes(StandardCharsets.UTF_8));
      assertEquals(OVER, answer(v, 7).type());
    }
  }

  @Test
  void rudeConnectionsGetARefusalOrAClose() throws Exception {
    try (var good = new PlatformViewers(port);
        var same = new PlatformViewers(port);
        var silent = new PlatformViewers(port);
        var huge = new PlatformViewers(port);
        var half = new PlatformViewers(port)) {
      huge.send(new byte[] {(byte) 0xff, (byte) 0xff, 1, 2, 3});
      half.send(new byte[] {0, 40, 1, 2});
      boxes.forEach(b -> b.behavior = Behavior.SILENT);
      good.send(PlatformViewers.setUp(9, "lesson", 8000, ""));
      until(() -> boxes.stream().anyMatch(b -> b.receivedCount("START") > 0));
      same.send(PlatformViewers.setUp(9, "lesson", 8000, ";x:1"));
      assertEquals(OVER, answer(same, 9).type(), "the id of another's viewing");
      same.send(PlatformViewers.setUp(10, "cinema", 5000, ""));
      assertEquals(OVER, answer(same, 10).type());
      assertEquals(FrontMessage.CLOSED, huge.next(5000));
      assertEquals(FrontMessage.CLOSED, half.next(5000));
      assertEquals(FrontMessage.CLOSED, silent.next(5000));
      boxes.forEach(b -> b.behavior = Behavior.NORMAL);
      assertNotNull(answer(good, 9));
    }
  }

  @Test
  void theJournalServiceMovesBreaksOffAndIsTakenUpWhereItWas() throws Exception {
    until(() -> journal.requestedPositions.contains(1L));
    journal.breakDuringEvent(PlatformJournal.record(1, boxes.get(0).port(), 1, 0, 0));
    until(() -> journal.requestedPositions.size() == 2);
    assertEquals(1L, journal.requestedPositions.get(1), "an event cut off has not been told");
    try (var next = new PlatformJournal(2)) {
      Files.writeString(file, "{ half a file");
      service.postedAnew();
      Files.writeString(file, TryOut.configuration(port, next.port(), ports()));
      service.postedAnew();
      until(() -> next.requestedPositions.contains(2L));
      next.publish(PlatformJournal.record(2, boxes.get(1).port(), 1, 1, 0));
      try (var v = new PlatformViewers(port)) {
        for (long id = 20; id < 30; id++) {
          v.send(PlatformViewers.setUp(id, "lesson", 5000, ""));
          answer(v, id);
        }
      }
      assertEquals(
          0,
          boxes.get(0).receivedCount("START") + boxes.get(1).receivedCount("START"),
          "both drain");
      assertTrue(boxes.get(2).receivedCount("START") > 0);
    }
  }

  @Test
  void toldToStopItAnswersWhatItHasTakenAndWhatStillComes() throws Exception {
    try (var v = new PlatformViewers(port)) {
      boxes.forEach(b -> b.behavior = Behavior.SILENT);
      v.send(PlatformViewers.setUp(31, "lesson", 5000, ""));
      until(() -> boxes.stream().anyMatch(b -> b.receivedCount("START") > 0));
      boxes.forEach(b -> b.behavior = Behavior.NORMAL);
      service.tellToStop();
      v.send(PlatformViewers.setUp(32, "lesson", 5000, ""));
      assertNotNull(answer(v, 31));
      try (var late = new PlatformViewers(port)) {
        late.send(PlatformViewers.setUp(33, "lesson", 5000, ""));
        assertTrue(answer(late, 33).type() == PLAYS);
      }
    }
  }

  @Test
  void aPostingThatCannotBeUsedIsRefusedInOneLine() throws IOException {
    String good = Files.readString(file);
    for (String bad :
        List.of(
            "",
            "[]",
            good.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\""),
            good.replace("\"state\":\"up\"", "\"state\":\"away\""),
            good.replace("\"listen\":\"127.0.0.1", "\"listen\":\"")
                .replace("\"listen\":\":", "\"listen\":\""),
            good.substring(0, good.length() / 2))) {
      Files.writeString(file, bad);
      var e =
          org.junit.jupiter.api.Assertions.assertThrows(
              linengauge.briefing.BadBriefing.class, () -> Configuration.read(file));
      assertTrue(e.getMessage().lines().count() == 1, e.getMessage());
    }
  }
}
