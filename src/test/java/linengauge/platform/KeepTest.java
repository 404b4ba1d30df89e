package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Outside.Ending;
import linengauge.Span;
import linengauge.platform.connection.AcceptBacklog;
import linengauge.platform.connection.DescriptorBudget;
import linengauge.platform.connection.EarlyEnds;
import linengauge.platform.connection.EventLoopLag;
import linengauge.platform.connection.IdleConnection;
import linengauge.platform.connection.IdleConnections;
import linengauge.platform.connection.Line;
import linengauge.platform.connection.ReachabilityDetector;
import linengauge.platform.connection.ReceiveQueue;
import linengauge.platform.connection.UnconfirmedEnds;
import org.junit.jupiter.api.Test;

class KeepTest {
  private static Moment at(long ms) {
    return new Moment(ms * 1000);
  }

  private final List<String> closed = new ArrayList<>();
  private final List<String> queued = new ArrayList<>();
  private final IdleConnections guests =
      new IdleConnections(new IdleConnections.Terms(3, Span.ofMillis(2000)));

  private IdleConnection guest(String name, long ms) {
    IdleConnection one =
        guests.arrived(() -> closed.add(name), () -> !queued.contains(name), at(ms));
    guests.makePlace();
    return one;
  }

  @Test
  void whoSaysNothingOrNeverEndsAMessageGoesInTimeAndNobodyElse() {
    guest("silent", 0);
    IdleConnection half = guest("half", 0);
    half.proven();
    half.read(false, true, at(500));
    IdleConnection viewer = guest("viewer", 0);
    viewer.proven();
    guests.look(at(1999));
    guests.look(at(1999));
    assertEquals(List.of(), closed);
    guests.look(at(2000));
    assertEquals(List.of(), closed, "what has come since the loop last read is read first");
    guests.look(at(2200));
    assertEquals(List.of("silent"), closed);
    half.read(false, true, at(2400)); // a drip is no end
    guests.look(at(2500));
    guests.look(at(2700));
    assertEquals(List.of("silent", "half"), closed);
    guests.look(at(99_000));
    guests.look(at(100_000));
    assertEquals(1, guests.size(), "who asked once may stay");
  }

  @Test
  void whenPlacesAreShortTheUnprovenGoFirstAndThoseWithASetUpOpenNever() {
    guest("viewer", 0).proven();
    IdleConnection asks = guest("asks", 1);
    asks.asked();
    guest("silent", 2);
    guest("fourth", 3);
    assertEquals(List.of("silent"), closed);
    guest("fifth", 4).asked();
    assertEquals(List.of("silent", "fourth"), closed);
    IdleConnection sixth = guest("sixth", 5);
    assertEquals(List.of("silent", "fourth", "viewer"), closed);
    sixth.asked();
    guest("seventh", 6);
    assertEquals(
        List.of("silent", "fourth", "viewer", "seventh"),
        closed,
        "all have a set-up open: the newest goes");
    asks.settled(at(7));
    queued.add("asks");
    guest("eighth", 8);
    assertEquals("eighth", closed.get(4), "what waits to be begun is as good as open");
    queued.clear();
    guest("ninth", 9);
    assertEquals("asks", closed.get(5));
  }

  private static ReachabilityDetector reach() {
    return new ReachabilityDetector(
        new ReachabilityDetector.Terms(
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
  void aBoxIsLostOnlyWhenConnectionsNoLongerComeUpForAWhile() {
    ReachabilityDetector reach = reach();
    assertFalse(reach.wantsConnection(1, at(2500)));
    assertTrue(
        reach.wantsConnection(1, at(2501)), "silent for long: a new one shows whether it is there");
    assertFalse(reach.lost(at(60_000)), "silence alone proves nothing");
    reach.failed(at(3000));
    assertFalse(reach.wantsConnection(0, at(3049)));
    assertTrue(reach.wantsConnection(0, at(3050)));
    for (long t = 3050; t < 6500; t += 800) {
      reach.failed(at(t));
    }
    assertFalse(reach.lost(at(6499)));
    assertTrue(reach.lost(at(6500)));
    reach.sign(at(6501));
    assertFalse(reach.lost(at(60_000)));
    assertTrue(reach.wantsConnection(0, at(6501)));
  }

  /**
   * On the terms in force: what plays at a box that has vanished is released within 8 s of its last
   * sign.
   */
  @Test
  void silenceIsTestedOnceThenConnectionsAreTriedAndTheBoxIsLostInTime() {
    ReachabilityDetector reach =
        new ReachabilityDetector(ReachabilityDetector.Terms.PLATFORM, at(0));
    assertFalse(reach.wantsTest(at(5000)), "boxes are silent by nature");
    assertTrue(reach.wantsTest(at(5001)));
    assertFalse(reach.wantsTest(at(5400)));
    assertFalse(reach.wantsConnection(1, at(5500)));
    assertTrue(reach.wantsConnection(1, at(5501)));
    reach.failed(at(5800));
    reach.failed(at(6300));
    assertFalse(reach.lost(at(6999)));
    assertTrue(reach.lost(at(7000)));
    reach.sign(at(7001));
    assertFalse(reach.lost(at(7100)));
    assertTrue(reach.wantsTest(at(12_100)), "a new silence");
    reach.failed(at(13_700));
    assertFalse(reach.lost(at(14_600)), "one try alone proves too little");
    assertTrue(reach.lost(at(14_700)));
  }

  /**
   * What a box says as a connection closes is lost, and said again on the next one that is opened.
   */
  @Test
  void aCloseIsFollowedByAConnectionBegunAfterIt() {
    ReachabilityDetector reach = reach();
    assertFalse(reach.wantsConnection(2, at(100)));
    int before = reach.closings();
    reach.closed();
    assertTrue(reach.wantsConnection(2, at(100)));
    reach.up(before, at(110));
    assertTrue(reach.wantsConnection(2, at(120)), "that one was begun before the close");
    reach.up(reach.closings(), at(130));
    assertFalse(reach.wantsConnection(2, at(140)));
  }

  @Test
  void aConnectionStaysWhileAViewingSetUpOnItPlaysAndTakesNothingMoreOnceNothingComes() {
    Line line = new Line(at(0));
    Span rests = Span.ofMillis(4000);
    assertEquals(Line.Verdict.STAYS, line.verdict(0, rests, at(4000)));
    assertEquals(Line.Verdict.RESTS, line.verdict(0, rests, at(4001)));
    assertEquals(Line.Verdict.STAYS, line.verdict(1, rests, at(4001)));
    line.used(at(5000));
    line.heard(at(5100));
    line.unanswered(at(5000));
    assertFalse(line.isRetired(), "something came since");
    line.unanswered(at(5200));
    assertTrue(line.isRetired());
    line.stands(2);
    assertEquals(
        Line.Verdict.STAYS, line.verdict(0, rests, at(60_000)), "its box tells of them here");
    line.stands(-2);
    assertEquals(Line.Verdict.RESTS, line.verdict(0, Span.NONE, at(5201)));
  }

  @Test
  void aLineThatDoesNotEndSpoilsItsConnectionHoweverItDrips() {
    Line line = new Line(at(0));
    line.read(false, true, at(100));
    line.read(false, true, at(450));
    assertEquals(Line.Verdict.STAYS, line.verdict(3, Span.NONE, at(500)));
    assertEquals(Line.Verdict.SPOILT, line.verdict(3, Span.NONE, at(501)));
    line.read(true, true, at(600));
    assertEquals(
        Line.Verdict.STAYS,
        line.verdict(3, Span.NONE, at(1000)),
        "another line has begun meanwhile");
    line.read(true, false, at(1000));
    assertEquals(Line.Verdict.STAYS, line.verdict(3, Span.NONE, at(60_000)));
  }

  @Test
  void descriptorsAreSharedOutWithinTheLimit() {
    for (int limit : new int[] {256, 384, 1024}) {
      DescriptorBudget p = DescriptorBudget.of(limit);
      assertTrue(
          p.viewers() + p.boxes() + 48 <= limit && p.viewers() >= limit / 3 && p.boxes() >= 40,
          p.toString());
    }
  }

  /**
   * A turn of half a second leaves a request read in the next one that much less of its patience.
   */
  @Test
  void whatABusyLoopReadsMayHaveWaitedForTwoTurns() {
    EventLoopLag lag = new EventLoopLag(Span.ofMillis(50), at(0));
    lag.beat(at(20));
    lag.beat(at(40));
    assertEquals(Span.ofMillis(25), lag.unread(at(45)));
    lag.beat(at(500));
    assertEquals(Span.ofMillis(465), lag.unread(at(505)));
    lag.beat(at(520));
    lag.beat(at(540));
    assertEquals(Span.ofMillis(25), lag.unread(at(545)));
  }

  /** What lay on a connection is read in several turns: its bytes in one, its close in the next. */
  @Test
  void aLoopIsBehindInALongTurnAndForSomeBeatsAfterIt() {
    EventLoopLag lag = new EventLoopLag(Span.ofMillis(50), at(0));
    lag.beat(at(20));
    assertFalse(lag.isBehind(at(70)));
    assertTrue(lag.isBehind(at(71)));
    lag.beat(at(140));
    for (int t = 141; t < 144; t++) {
      assertTrue(lag.isBehind(at(t)));
      lag.beat(at(t)); // those that were missed follow each other
    }
    assertFalse(lag.isBehind(at(144)));
  }

  @Test
  void anEndThatOvertakesTheHandingOverIsKeptForAWhileAndTakenOnce() {
    EarlyEnds ends = new EarlyEnds(2, Span.ofMillis(8000));
    ends.heard(1, Ending.FINISHED, at(0));
    assertEquals(Ending.FINISHED, ends.take(1));
    assertNull(ends.take(1));
    for (long id = 2; id < 5; id++) {
      ends.heard(id, Ending.BROKEN, at(id));
    }
    assertEquals(2, ends.size());
    assertNull(ends.take(2), "the oldest has gone");
    ends.look(at(8004));
    assertNull(ends.take(3), "its time is over");
    assertEquals(Ending.BROKEN, ends.take(4));
  }

  @Test
  void aConnectionOfAWaveMayHaveWaitedSinceTheBacklogWasLastEmpty() {
    AcceptBacklog backlog = new AcceptBacklog(3, at(0));
    backlog.taken();
    backlog.beat(at(20));
    assertEquals(at(0), backlog.cameAfter());
    backlog.beat(at(40));
    assertEquals(at(20), backlog.cameAfter());
    for (int turn = 0; turn < 4; turn++) {
      for (int i = 0; i < 3; i++) {
        backlog.taken();
      }
      backlog.beat(at(100 + 100 * turn));
      assertEquals(at(20), backlog.cameAfter(), "more may wait");
    }
    backlog.taken();
    backlog.beat(at(500));
    assertEquals(at(400), backlog.cameAfter());
  }

  @Test
  void aStandStillOfTheFrontBetweenAskingAndNowIsSeen() {
    EventLoopLag lag = new EventLoopLag(Span.ofMillis(50), at(0));
    lag.beat(at(20));
    lag.beat(at(40));
    assertFalse(lag.heldUp(Span.ofMillis(150), at(0), at(60)));
    assertTrue(lag.heldUp(Span.ofMillis(150), at(50), at(190)), "no beat for so long");
    lag.beat(at(300));
    assertTrue(lag.heldUp(Span.ofMillis(150), at(50), at(310)));
    assertFalse(lag.heldUp(Span.ofMillis(150), at(305), at(310)), "it was over before");
    lag.beat(at(320));
    assertFalse(lag.heldUp(Span.ofMillis(150), at(305), at(330)));
  }

  @Test
  void whatWaitedForAConnectionIsAsOldAsThatUntilAllOfItHasCome() {
    ReceiveQueue taken = new ReceiveQueue(at(100), at(600));
    taken.come(new byte[10], at(690), at(700));
    taken.come(new byte[10], at(690), at(705));
    taken.come(new byte[10], at(710), at(720));
    assertEquals(
        List.of(at(100), at(100), at(710)),
        List.of(taken.next().came(), taken.next().came(), taken.next().came()));
    taken.come(new byte[ReceiveQueue.MOST], at(790), at(800));
    assertTrue(taken.isFull(1) && !taken.isFull(0));
    taken.paused();
    taken.next();
    taken.resumed(at(900));
    taken.come(new byte[1], at(895), at(901));
    taken.paused();
    taken.resumed(at(950));
    taken.come(new byte[1], at(940), at(951));
    taken.come(new byte[1], at(951), at(960));
    assertEquals(
        List.of(at(790), at(790), at(951)),
        List.of(taken.next().came(), taken.next().came(), taken.next().came()));
    assertNull(taken.next());
    ReceiveQueue idle = new ReceiveQueue(at(100), at(600));
    idle.come(new byte[1], at(2000), at(2010));
    assertEquals(at(2000), idle.next().came(), "nothing that waited to be taken comes so late");
  }

  /** Guards against a confirmation by what the server may have written before it read the end. */
  @Test
  void aTestConfirmsOnlyTheEndsThatWereWrittenBeforeIt() {
    var ends = new UnconfirmedEnds<String>(8, Span.ofSeconds(8));
    ends.testWritten(1);
    ends.written(7, "seven", at(1));
    assertEquals(List.of(), ends.testAnswered(1), "written before the end");
    assertEquals(List.of(), ends.testAnswered(2), "never written here");
    ends.testWritten(3);
    ends.written(8, "eight", at(2));
    assertEquals(List.of("seven"), ends.testAnswered(3));
    assertEquals("eight", ends.confirmed(8));
    assertNull(ends.confirmed(8));
    assertEquals(0, ends.size());
  }

  /** Guards against a table that grows with every attempt given up. */
  @Test
  void endsThatAreNeverConfirmedLeaveByNumberAndByTime() {
    var ends = new UnconfirmedEnds<String>(4, Span.ofSeconds(8));
    for (long id = 0; id < 100; id++) {
      ends.written(id, "some", at(1));
    }
    assertEquals(4, ends.size());
    ends.written(200, "late", at(20_000));
    assertEquals(1, ends.size());
  }
}
