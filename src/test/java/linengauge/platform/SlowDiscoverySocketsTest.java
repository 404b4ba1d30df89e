package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import linengauge.platform.DiscoveryPlay.OpenWatches;
import linengauge.platform.DiscoveryPlay.Result;
import linengauge.platform.SlowJournal.Trouble;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a front that gives up a journal service that would answer, and asks it again
 * instead: such a front is never notified, and its requests add to the load that made the service
 * slow. The plays run beside each other, as nearly all of their time is waiting.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(120)
class SlowDiscoverySocketsTest {
  private static final int FRONTS = 24;
  private static final int LISTED_SERVERS = 3200;
  private static final int[] LIST_SECONDS = {1, 2, 4, 8};

  /** A bounded number of watches, so that a crowd is no crowd of watches without end. */
  private static final int MAX_WATCHES_PER_FRONT = 3;

  /** How long a play goes on at most after its newest event. */
  private static final long LIMIT_MS = 18_000;

  /** Time that sockets and a busy machine may add. */
  private static final long SLACK_MS = 1000;

  private final ExecutorService plays = Executors.newCachedThreadPool();
  private final Map<String, Future<Result>> results = new LinkedHashMap<>();

  @BeforeAll
  void startPlays() {
    startPlaysOfOneFront();
    startPlaysOfManyFronts();
  }

  private void startPlaysOfOneFront() {
    startBroken("late by 3 s", 1, new Trouble().firstFrameAfter(3000));
    startBroken("late by 8 s", 1, new Trouble().firstFrameAfter(8000));
    startBroken("first never answered", 1, new Trouble().answersOnly(index -> index > 0));
    startBroken(
        "every second never answered",
        1,
        new Trouble().answersOnly(index -> index % 2 == 1).firstFrameAfter(1000));
    for (int seconds : LIST_SECONDS) {
      startWithList("list over " + seconds + " s", 1, seconds);
    }
    Trouble lateAnswers = new Trouble().firstFrameAfter(1500);
    start("open watches fall silent", 1, lateAnswers, OpenWatches.FALL_SILENT, 0);
    Trouble fewFrames = new Trouble().heartbeatEach(2500);
    start("a frame each 2.5 s", 1, fewFrames, OpenWatches.GO_ON, 0);
  }

  private void startPlaysOfManyFronts() {
    startBroken("crowd of 24, 3 a second", FRONTS, new Trouble().watchesPerSecond(3));
    startBroken("crowd of 16, 4 a second", 16, new Trouble().watchesPerSecond(4));
    startWithList("24 fronts, list over 4 s", FRONTS, 4);
    Trouble crowdedAtStart = new Trouble().watchesPerSecond(3);
    start("24 that start in a crowd, 3 a second", FRONTS, crowdedAtStart, OpenWatches.NONE_YET, 0);
    Trouble crowded = new Trouble().watchesPerSecond(3);
    start("crowd of 24 that fell silent, 3 a second", FRONTS, crowded, OpenWatches.FALL_SILENT, 0);
    Trouble fewFrames = new Trouble().heartbeatEach(2500);
    start("24 fronts, a frame each 2.5 s", FRONTS, fewFrames, OpenWatches.GO_ON, 0);
  }

  private void startBroken(String name, int fronts, Trouble trouble) {
    start(name, fronts, trouble, OpenWatches.BREAK_OFF, 0);
  }

  private void startWithList(String name, int fronts, int seconds) {
    Trouble slowList = new Trouble().listsTake(seconds * 1000L);
    start(name, fronts, slowList, OpenWatches.BREAK_OFF, LISTED_SERVERS);
  }

  private void start(
      String name, int fronts, Trouble trouble, OpenWatches openWatches, int listedServers) {
    results.put(
        name,
        plays.submit(
            () -> {
              try (DiscoveryPlay play = new DiscoveryPlay(fronts)) {
                Result result = play.play(trouble, openWatches, listedServers, LIMIT_MS);
                System.out.println(name + ": " + result);
                return result;
              }
            }));
  }

  @AfterAll
  void stopPlays() throws InterruptedException {
    plays.shutdown();
    plays.awaitTermination(60, TimeUnit.SECONDS);
  }

  private void check(String name, int fronts, long mostMs, int mostOpened) throws Exception {
    Result result = results.get(name).get();
    assertEquals(0, result.unnotified(), name + ": " + result);
    assertTrue(result.newestEventMs() <= mostMs + SLACK_MS, name + ": " + result);
    assertTrue(result.watchesOpened() <= mostOpened, name + ": " + result);
    assertTrue(result.mostOpen() <= fronts * MAX_WATCHES_PER_FRONT, name + ": " + result);
    assertEquals(fronts, result.openAtEnd(), name + ": " + result);
  }

  @Test
  void aFirstFrameThatComesLateIsWaitedFor() throws Exception {
    check("late by 3 s", 1, 2000, 2);
    check("late by 8 s", 1, 7000, 3);
  }

  @Test
  void aLongListThatComesSlowlyIsReadToItsEnd() throws Exception {
    for (int seconds : LIST_SECONDS) {
      check("list over " + seconds + " s", 1, seconds * 1000L - 1000, 1);
    }
    check("24 fronts, list over 4 s", FRONTS, 3000, FRONTS);
  }

  @Test
  void aWatchThatIsNeverAnsweredIsReplacedSoon() throws Exception {
    check("first never answered", 1, 1600, 2);
    check("every second never answered", 1, 2600, 2);
  }

  @Test
  void anOpenWatchThatFallsSilentIsReplacedSoon() throws Exception {
    check("open watches fall silent", 1, 3000, 1);
  }

  @Test
  void aServiceWithFewFramesIsStillFollowedAndNotAskedAfterEachPause() throws Exception {
    check("a frame each 2.5 s", 1, 1500, 3);
    check("24 fronts, a frame each 2.5 s", FRONTS, 1500, MAX_WATCHES_PER_FRONT * FRONTS);
  }

  /** The service could answer each front once within 8 s. */
  @Test
  void aCrowdIsServedWithinTheTimeThatItsServiceNeeds() throws Exception {
    check("crowd of 24, 3 a second", FRONTS, 8000, MAX_WATCHES_PER_FRONT * FRONTS);
    check("crowd of 16, 4 a second", 16, 4000, MAX_WATCHES_PER_FRONT * 16);
    check("24 that start in a crowd, 3 a second", FRONTS, 8000, MAX_WATCHES_PER_FRONT * FRONTS);
    check(
        "crowd of 24 that fell silent, 3 a second",
        FRONTS,
        2400 + 8000,
        MAX_WATCHES_PER_FRONT * FRONTS);
  }
}
