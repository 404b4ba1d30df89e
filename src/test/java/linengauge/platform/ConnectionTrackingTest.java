package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.Environment.AttemptOutcome;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.connection.AcceptBacklog;
import linengauge.platform.connection.ConnectionHealth;
import linengauge.platform.connection.DescriptorBudget;
import linengauge.platform.connection.EarlyEnds;
import linengauge.platform.connection.EventLoopLag;
import linengauge.platform.connection.IdleConnectionReaper;
import linengauge.platform.connection.IdleTracker;
import linengauge.platform.connection.ReachabilityDetector;
import linengauge.platform.connection.ReceiveQueue;
import linengauge.platform.connection.UnconfirmedEnds;
import org.junit.jupiter.api.Test;

class ConnectionTrackingTest {
  private static Moment at(long ms) {
    return new Moment(ms * 1000);
  }

  private final List<String> closedNames = new ArrayList<>();
  private final List<String> withQueuedRequests = new ArrayList<>();
  private final IdleConnectionReaper reaper =
      new IdleConnectionReaper(new IdleConnectionReaper.Limits(3, Span.ofMillis(2000)));

  private IdleTracker accept(String name, long ms) {
    IdleTracker connection =
        reaper.add(() -> closedNames.add(name), () -> !withQueuedRequests.contains(name), at(ms));
    reaper.evictExcess();
    return connection;
  }

  @Test
  void closesSilentAndUnfinishedConnectionsAndKeepsTheOthers() {
    accept("silent", 0);
    IdleTracker partial = accept("half", 0);
    partial.markTrusted();
    partial.onRead(false, true, at(500));
    IdleTracker client = accept("viewer", 0);
    client.markTrusted();
    reaper.closeOverdue(at(1999));
    reaper.closeOverdue(at(1999));
    assertEquals(List.of(), closedNames);
    reaper.closeOverdue(at(2000));
    assertEquals(
        List.of(), closedNames, "data that arrived since the loop last read is read first");
    reaper.closeOverdue(at(2200));
    assertEquals(List.of("silent"), closedNames);
    partial.onRead(false, true, at(2400)); // Further bytes do not complete the message.
    reaper.closeOverdue(at(2500));
    reaper.closeOverdue(at(2700));
    assertEquals(List.of("silent", "half"), closedNames);
    reaper.closeOverdue(at(99_000));
    reaper.closeOverdue(at(100_000));
    assertEquals(1, reaper.size(), "a connection whose request was answered may stay");
  }

  @Test
  void evictsIdleConnectionsStartingWithUntrustedOnes() {
    accept("viewer", 0).markTrusted();
    IdleTracker requester = accept("asks", 1);
    requester.onRequestOpened();
    accept("silent", 2);
    accept("fourth", 3);
    assertEquals(List.of("silent"), closedNames);
    accept("fifth", 4).onRequestOpened();
    assertEquals(List.of("silent", "fourth"), closedNames);
    IdleTracker sixth = accept("sixth", 5);
    assertEquals(List.of("silent", "fourth", "viewer"), closedNames);
    sixth.onRequestOpened();
    accept("seventh", 6);
    assertEquals(
        List.of("silent", "fourth", "viewer", "seventh"),
        closedNames,
        "all have an open request: the newest is closed");
    requester.onRequestSettled(at(7));
    withQueuedRequests.add("asks");
    accept("eighth", 8);
    assertEquals("eighth", closedNames.get(4), "a queued request counts as open");
    withQueuedRequests.clear();
    accept("ninth", 9);
    assertEquals("asks", closedNames.get(5));
  }

  private static ReachabilityDetector detector() {
    return new ReachabilityDetector(
        new ReachabilityDetector.Settings(
            Span.ofMillis(2000),
            Span.ofMillis(500),
            Span.ofMillis(3500),
            Span.ofMillis(60_000),
            Span.ofMillis(1000),
            Span.ofMillis(50),
            Span.ofMillis(800)),
        at(0));
  }

  @Test
  void aServerIsLostOnlyAfterConnectionsFailForAWhile() {
    ReachabilityDetector detector = detector();
    assertFalse(detector.needsConnection(1, at(2500)));
    assertTrue(
        detector.needsConnection(1, at(2501)),
        "after a long silence, a new connection shows whether the server is there");
    assertFalse(detector.isLost(at(60_000)), "silence alone proves nothing");
    detector.onConnectFailed(at(3000));
    assertFalse(detector.needsConnection(0, at(3049)));
    assertTrue(detector.needsConnection(0, at(3050)));
    for (long t = 3050; t < 6500; t += 800) {
      detector.onConnectFailed(at(t));
    }
    assertFalse(detector.isLost(at(6499)));
    assertTrue(detector.isLost(at(6500)));
    detector.onReceived(at(6501));
    assertFalse(detector.isLost(at(60_000)));
    assertTrue(detector.needsConnection(0, at(6501)));
  }

  /**
   * With the settings in use, the sessions of a vanished server are released within 8 s of the last
   * data received from it.
   */
  @Test
  void aSilentServerIsTestedOnceAndThenLostInTime() {
    ReachabilityDetector detector =
        new ReachabilityDetector(ReachabilityDetector.Settings.PLATFORM, at(0));
    assertFalse(detector.needsTest(at(5000)), "servers are silent by nature");
    assertTrue(detector.needsTest(at(5001)));
    assertFalse(detector.needsTest(at(5400)));
    assertFalse(detector.needsConnection(1, at(5500)));
    assertTrue(detector.needsConnection(1, at(5501)));
    detector.onConnectFailed(at(5800));
    detector.onConnectFailed(at(6300));
    assertFalse(detector.isLost(at(6999)));
    assertTrue(detector.isLost(at(7000)));
    detector.onReceived(at(7001));
    assertFalse(detector.isLost(at(7100)));
    assertTrue(detector.needsTest(at(12_100)), "a new silence");
    detector.onConnectFailed(at(13_700));
    assertFalse(detector.isLost(at(14_600)), "one failed attempt alone is too little proof");
    assertTrue(detector.isLost(at(14_700)));
  }

  /**
   * A report that a server sends as a connection closes is lost, and is repeated on the next one
   * that is opened.
   */
  @Test
  void aCloseNeedsAConnectionBegunAfterIt() {
    ReachabilityDetector detector = detector();
    assertFalse(detector.needsConnection(2, at(100)));
    int before = detector.missCount();
    detector.onReportsMissed();
    assertTrue(detector.needsConnection(2, at(100)));
    detector.onHeard(before);
    assertTrue(detector.needsConnection(2, at(120)), "that connection was begun before the close");
    detector.onReceived(at(130));
    assertTrue(detector.needsConnection(2, at(130)), "a connection that is up may carry nothing");
    detector.onHeard(detector.missCount());
    assertFalse(detector.needsConnection(2, at(140)));
  }

  @Test
  void aConnectionStaysWhileASessionUsesItAndRetiresWhenSilent() {
    ConnectionHealth health = new ConnectionHealth(at(0));
    Span idleTimeout = Span.ofMillis(4000);
    assertEquals(ConnectionHealth.Verdict.KEEP, health.verdict(0, idleTimeout, at(4000)));
    assertEquals(ConnectionHealth.Verdict.CLOSE_IDLE, health.verdict(0, idleTimeout, at(4001)));
    assertEquals(ConnectionHealth.Verdict.KEEP, health.verdict(1, idleTimeout, at(4001)));
    health.onSent(at(5000));
    health.onReceived(at(5100));
    health.onUnanswered(at(5000));
    assertFalse(health.isRetired(), "something was received since");
    health.onUnanswered(at(5200));
    assertTrue(health.isRetired());
    health.addSessions(2);
    assertEquals(
        ConnectionHealth.Verdict.KEEP,
        health.verdict(0, idleTimeout, at(60_000)),
        "its server reports about them here");
    health.addSessions(-2);
    assertEquals(ConnectionHealth.Verdict.CLOSE_IDLE, health.verdict(0, Span.NONE, at(5201)));
  }

  @Test
  void anUnfinishedLineBreaksItsConnectionThoughBytesKeepComing() {
    ConnectionHealth health = new ConnectionHealth(at(0));
    health.onRead(false, true, at(100));
    health.onRead(false, true, at(450));
    assertEquals(ConnectionHealth.Verdict.KEEP, health.verdict(3, Span.NONE, at(500)));
    assertEquals(ConnectionHealth.Verdict.CLOSE_BROKEN, health.verdict(3, Span.NONE, at(501)));
    health.onRead(true, true, at(600));
    assertEquals(
        ConnectionHealth.Verdict.KEEP,
        health.verdict(3, Span.NONE, at(1000)),
        "another line has begun meanwhile");
    health.onRead(true, false, at(1000));
    assertEquals(ConnectionHealth.Verdict.KEEP, health.verdict(3, Span.NONE, at(60_000)));
  }

  @Test
  void descriptorSharesStayWithinTheLimit() {
    for (int limit : new int[] {256, 384, 1024}) {
      DescriptorBudget budget = DescriptorBudget.of(limit);
      assertTrue(
          budget.clients() + budget.servers() + 48 <= limit
              && budget.clients() >= limit / 3
              && budget.servers() >= 40,
          budget.toString());
    }
  }

  /**
   * After a turn of half a second, a request read in the next one may have waited that long, and
   * its client's time limit is that much shorter.
   */
  @Test
  void readDelayCoversTheLastTwoTurns() {
    EventLoopLag lag = new EventLoopLag(Span.ofMillis(50), at(0));
    lag.tick(at(20));
    lag.tick(at(40));
    assertEquals(Span.ofMillis(25), lag.maxReadDelay(at(45)));
    lag.tick(at(500));
    assertEquals(Span.ofMillis(465), lag.maxReadDelay(at(505)));
    lag.tick(at(520));
    lag.tick(at(540));
    assertEquals(Span.ofMillis(25), lag.maxReadDelay(at(545)));
  }

  /**
   * Pending data is read over several turns: the bytes in one, the close in the next, and the tasks
   * deferred by these run in the third.
   */
  @Test
  void aLoopIsBehindDuringALongTurnAndForSomeTicksAfterIt() {
    EventLoopLag lag = new EventLoopLag(Span.ofMillis(50), at(0));
    lag.tick(at(20));
    assertFalse(lag.isBehind(at(70)));
    assertTrue(lag.isBehind(at(71)));
    lag.tick(at(140));
    for (int t = 141; t < 144; t++) {
      assertTrue(lag.isBehind(at(t)));
      lag.tick(at(t)); // Missed ticks run one per turn.
    }
    assertFalse(lag.isBehind(at(144)));
  }

  @Test
  void anEndBeforeItsHandOverIsKeptForAWhileAndTakenOnce() {
    EarlyEnds ends = new EarlyEnds(2, Span.ofMillis(8000));
    ends.add(1, AttemptOutcome.FINISHED, at(0));
    assertEquals(AttemptOutcome.FINISHED, ends.take(1));
    assertNull(ends.take(1));
    for (long id = 2; id < 5; id++) {
      ends.add(id, AttemptOutcome.BROKEN, at(id));
    }
    assertEquals(2, ends.size());
    assertNull(ends.take(2), "the oldest entry has been evicted");
    ends.expire(at(8004));
    assertNull(ends.take(3), "it has expired");
    assertEquals(AttemptOutcome.BROKEN, ends.take(4));
  }

  @Test
  void aConnectionInABurstMayHaveWaitedSinceTheBacklogWasLastEmpty() {
    AcceptBacklog backlog = new AcceptBacklog(3, at(0));
    backlog.onAccepted();
    backlog.tick(at(20));
    assertEquals(at(0), backlog.earliestArrival());
    backlog.tick(at(40));
    assertEquals(at(20), backlog.earliestArrival());
    for (int turn = 0; turn < 4; turn++) {
      for (int i = 0; i < 3; i++) {
        backlog.onAccepted();
      }
      backlog.tick(at(100 + 100 * turn));
      assertEquals(at(20), backlog.earliestArrival(), "more connections may be waiting");
    }
    backlog.onAccepted();
    backlog.tick(at(500));
    assertEquals(at(400), backlog.earliestArrival());
  }

  @Test
  void detectsAStallBetweenSendingAndNow() {
    EventLoopLag lag = new EventLoopLag(Span.ofMillis(50), at(0));
    lag.tick(at(20));
    lag.tick(at(40));
    assertFalse(lag.wasStalled(Span.ofMillis(150), at(0), at(60)));
    assertTrue(lag.wasStalled(Span.ofMillis(150), at(50), at(190)), "no tick for so long");
    lag.tick(at(300));
    assertTrue(lag.wasStalled(Span.ofMillis(150), at(50), at(310)));
    assertFalse(lag.wasStalled(Span.ofMillis(150), at(305), at(310)), "the stall was over before");
    lag.tick(at(320));
    assertFalse(lag.wasStalled(Span.ofMillis(150), at(305), at(330)));
  }

  @Test
  void dataThatWaitedForItsConnectionIsAsOldAsTheWait() {
    ReceiveQueue received = new ReceiveQueue(at(100), at(600));
    received.add(new byte[10], at(690), at(700));
    received.add(new byte[10], at(690), at(705));
    received.add(new byte[10], at(710), at(720));
    assertEquals(
        List.of(at(100), at(100), at(710)),
        List.of(
            received.poll().earliestArrival(),
            received.poll().earliestArrival(),
            received.poll().earliestArrival()));
    received.add(new byte[ReceiveQueue.MAX_QUEUED_BYTES], at(790), at(800));
    assertTrue(received.isFull(1) && !received.isFull(0));
    received.onPaused();
    received.poll();
    received.onResumed(at(900));
    received.add(new byte[1], at(895), at(901));
    received.onPaused();
    received.onResumed(at(950));
    received.add(new byte[1], at(940), at(951));
    received.add(new byte[1], at(951), at(960));
    assertEquals(
        List.of(at(790), at(790), at(951)),
        List.of(
            received.poll().earliestArrival(),
            received.poll().earliestArrival(),
            received.poll().earliestArrival()));
    assertNull(received.poll());
    ReceiveQueue idle = new ReceiveQueue(at(100), at(600));
    idle.add(new byte[1], at(2000), at(2010));
    assertEquals(
        at(2000),
        idle.poll().earliestArrival(),
        "data that arrives so late has not waited for the accept");
  }

  /** Guards against a confirmation by what the server may have written before it read the end. */
  @Test
  void aTestConfirmsOnlyTheEndsThatWereWrittenBeforeIt() {
    var ends = new UnconfirmedEnds<String>(8, Span.ofSeconds(8));
    ends.onTestWritten(1);
    ends.onEndWritten(7, "seven", at(1));
    assertEquals(List.of(), ends.confirmByTest(1), "the test was written before the end");
    assertEquals(List.of(), ends.confirmByTest(2), "the test was never written here");
    ends.onTestWritten(3);
    ends.onEndWritten(8, "eight", at(2));
    assertEquals(List.of("seven"), ends.confirmByTest(3));
    assertEquals("eight", ends.confirm(8));
    assertNull(ends.confirm(8));
    assertEquals(0, ends.size());
  }

  /** Guards against a table that grows with every abandoned attempt. */
  @Test
  void unconfirmedEndsAreBoundedInNumberAndTime() {
    var ends = new UnconfirmedEnds<String>(4, Span.ofSeconds(8));
    for (long id = 0; id < 100; id++) {
      ends.onEndWritten(id, "some", at(1));
    }
    assertEquals(4, ends.size());
    ends.onEndWritten(200, "late", at(20_000));
    assertEquals(1, ends.size());
  }
}
