package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.FakeNet.FakeConnection;
import linengauge.standin.PlatformJournal;
import org.junit.jupiter.api.Test;

/** When a front asks the journal service again, on a network in memory with virtual time. */
class DiscoveryWatchTest {
  private static final String SERVICE = "127.0.0.1:2";
  private static final int MAX_WATCHES = 3;

  private final FakeNet net;

  DiscoveryWatchTest() throws Exception {
    net = FakeNet.front();
  }

  private static byte[] frame(long number, byte[]... records) {
    return records.length == 0
        ? PlatformJournal.heartbeat(number)
        : PlatformJournal.changes(number, records);
  }

  private static byte[] drainOf(int server) {
    return PlatformJournal.record(server, server + 2, 1, 0, 0);
  }

  private List<FakeConnection> watches() {
    return net.serverConnections.stream()
        .filter(connection -> connection.address.equals(SERVICE))
        .toList();
  }

  private List<FakeConnection> openWatches() {
    return watches().stream().filter(watch -> !watch.closed).toList();
  }

  private long eventsApplied(long number) {
    return net.events.stream()
        .filter(event -> event.reason().startsWith("event " + number + ","))
        .count();
  }

  private void assertNotified(long number) {
    assertEquals(1, eventsApplied(number), "event " + number + " was applied once");
  }

  /** Guards against giving up a watch that the service was about to answer. */
  @Test
  void aWatchAnsweredLateReplacesThoseOpenedAfterIt() {
    FakeConnection first = watches().get(0);
    net.advance(Span.ofSeconds(8));
    assertFalse(first.closed);
    first.deliver(frame(2, drainOf(1)));
    assertNotified(2);
    assertEquals(List.of(first), openWatches());
  }

  /** Guards against waiting for a watch that was lost, beside one that is answered. */
  @Test
  void anAnswerToALaterWatchReplacesTheOneThatIsNeverAnswered() {
    net.advance(Span.ofMillis(2500));
    assertEquals(2, watches().size());
    FakeConnection second = watches().get(1);
    second.deliver(frame(2, drainOf(1)));
    assertNotified(2);
    assertEquals(List.of(second), openWatches());
  }

  /** Guards against watches that pile up at a service that answers none of them. */
  @Test
  void aServiceThatAnswersNothingIsAskedLessAndLessOften() {
    net.advance(Span.ofSeconds(60));
    int opened = watches().size();
    assertTrue(opened >= 60 / 10 && opened <= 3 + 60 / 5, opened + " watches in 60 s");
    assertTrue(openWatches().size() <= MAX_WATCHES, openWatches().size() + " watches open");
    List<Moment> times = net.connectTimes(SERVICE);
    Span firstPause = times.get(1).since(times.get(0));
    Span laterPause = times.get(5).since(times.get(4));
    assertTrue(firstPause.isShorterThan(laterPause), firstPause + ", later " + laterPause);
  }

  /** Guards against a queue at the service that the front leaves and joins again at its end. */
  @Test
  void theWatchThatHasWaitedLongestKeepsItsPlace() {
    FakeConnection first = watches().get(0);
    net.advance(Span.ofSeconds(100));
    assertFalse(first.closed);
    first.deliver(frame(2, drainOf(1)));
    assertNotified(2);
  }

  @Test
  void aWatchThatIsNeverAnsweredIsGivenUpInTheEnd() {
    FakeConnection first = watches().get(0);
    net.advance(Span.ofSeconds(125));
    assertTrue(first.closed);
    int open = openWatches().size();
    assertTrue(open > 0 && open <= MAX_WATCHES, open + " watches open");
  }

  /** Guards against losing the place at a crowded service to a watch that carries nothing more. */
  @Test
  void aWatchThatFellSilentIsGivenUpBeforeOneThatWaits() {
    FakeConnection silent = watches().get(0);
    silent.deliver(frame(1));
    net.advance(Span.ofSeconds(60));
    assertTrue(silent.closed);
    FakeConnection waiting = watches().get(1);
    assertFalse(waiting.closed);
    waiting.deliver(frame(2, drainOf(1)));
    assertNotified(2);
  }

  /** A frozen service that goes on is followed on the watch that it knows. */
  @Test
  void aWatchThatFellSilentAndGoesOnIsKept() {
    FakeConnection first = watches().get(0);
    first.deliver(frame(1));
    net.advance(Span.ofSeconds(6));
    first.deliver(frame(2, drainOf(1)));
    assertNotified(2);
    assertEquals(List.of(first), openWatches());
    net.advance(Span.ofSeconds(2));
    assertEquals(List.of(first), openWatches());
  }

  /** A break is no slowness: whoever asks at once is served at once. */
  @Test
  void aWatchThatBreaksIsReplacedAtOnceThoughAnotherOneIsSilent() {
    watches().get(0).deliver(frame(1));
    net.advance(Span.ofMillis(2500));
    FakeConnection second = watches().get(1);
    net.refusing.add(SERVICE);
    second.deliver(new byte[] {0, 0});
    second.closeByPeer();
    net.advance(Span.ofMillis(300));
    net.refusing.clear();
    net.advance(Span.ofMillis(900));
    assertEquals(3, watches().size());
  }

  /** Guards against asking a crowded service at once that turns away while the front waits. */
  @Test
  void aServiceThatTurnsAwayALaterWatchIsNotAskedAtOnce() {
    net.advance(Span.ofMillis(2500));
    watches().get(1).closeByPeer();
    net.advance(Span.ofMillis(3000));
    assertEquals(2, watches().size());
    net.advance(Span.ofMillis(4000));
    assertEquals(3, watches().size());
  }

  @Test
  void eventsOfTwoWatchesAreAppliedOnceAndInOrder() {
    net.advance(Span.ofMillis(2500));
    FakeConnection first = watches().get(0);
    FakeConnection second = watches().get(1);
    first.deliver(frame(2, drainOf(1)));
    second.deliver(frame(2, drainOf(1)));
    first.deliver(frame(2, drainOf(1)));
    first.deliver(frame(3, drainOf(2)));
    assertNotified(2);
    assertNotified(3);
    assertEquals(List.of(first), openWatches());
  }

  private static byte[] part(byte[] frame, int from, int to) {
    return Arrays.copyOfRange(frame, from, to);
  }

  private static byte[] longList(long number) {
    byte[][] records = new byte[200][];
    for (int i = 0; i < records.length; i++) {
      records[i] = drainOf(i + 1);
    }
    return PlatformJournal.fullList(number, records);
  }

  /** Guards against a list that is begun again and again because it is slow. */
  @Test
  void aListThatArrivesSlowlyIsReadToItsEnd() {
    byte[] list = longList(2);
    FakeConnection first = watches().get(0);
    int step = list.length / 12;
    for (int from = 0; from < list.length; from += step) {
      net.advance(Span.ofSeconds(1));
      first.deliver(part(list, from, Math.min(from + step, list.length)));
    }
    assertNotified(2);
    assertEquals(1, watches().size());
  }

  /** Guards against waiting for the rest of an event on a watch that carries nothing more. */
  @Test
  void aWatchThatStopsInTheMiddleOfAnEventIsReplacedAsSoonAsASilentOne() {
    byte[] list = longList(2);
    FakeConnection first = watches().get(0);
    net.advance(Span.ofSeconds(1));
    first.deliver(part(list, 0, list.length / 2));
    net.advance(Span.ofMillis(2500));
    assertEquals(2, watches().size());
    watches().get(1).deliver(list);
    assertNotified(2);
    assertEquals(List.of(watches().get(1)), openWatches());
  }

  /** Guards against heartbeats of another watch that cut a list short. */
  @Test
  void aListIsNotCutShortByHeartbeatsOfAnotherWatch() {
    byte[] list = longList(2);
    FakeConnection first = watches().get(0);
    net.advance(Span.ofMillis(2500));
    FakeConnection second = watches().get(1);
    first.deliver(part(list, 0, list.length / 2));
    second.deliver(frame(1));
    net.advance(Span.ofSeconds(1));
    first.deliver(part(list, list.length / 2, list.length));
    assertNotified(2);
    assertEquals(List.of(first), openWatches());
  }

  @Test
  void aListThatANewerEventHasOvertakenIsGivenUp() {
    byte[] list = longList(2);
    FakeConnection first = watches().get(0);
    net.advance(Span.ofMillis(2500));
    FakeConnection second = watches().get(1);
    first.deliver(part(list, 0, list.length / 2));
    second.deliver(longList(3));
    assertNotified(3);
    assertEquals(List.of(second), openWatches());
    first.deliver(part(list, list.length / 2, list.length));
    assertEquals(0, eventsApplied(2));
  }

  /** Guards against a list that takes for ever on one watch, though another would bring it. */
  @Test
  void aListThatTakesVeryLongIsAskedForOnAnotherWatchToo() {
    byte[] list = longList(2);
    FakeConnection first = watches().get(0);
    int position = 0;
    for (int i = 0; i < 17; i++) {
      first.deliver(part(list, position, position + 30));
      position += 30;
      net.advance(Span.ofSeconds(1));
    }
    assertEquals(2, watches().size());
    assertFalse(first.closed);
    watches().get(1).deliver(list);
    assertNotified(2);
    assertEquals(List.of(watches().get(1)), openWatches());
  }

  /** Guards against connections that never come up, as each is given up too early. */
  @Test
  void aConnectionThatTakesLongToComeUpIsWaitedFor() {
    watches().get(0).closeByPeer();
    net.connectsHang = true;
    net.advance(Span.ofMillis(3500));
    int opened = watches().size() - 1;
    assertTrue(opened > 1 && opened <= MAX_WATCHES, opened + " connections");
    net.completeConnects();
    assertEquals(1, openWatches().size(), "one is used");
    openWatches().get(0).deliver(frame(2, drainOf(1)));
    assertNotified(2);
    net.advance(Span.ofSeconds(2));
    assertEquals(1, openWatches().size());
  }

  /** Guards against waiting for a connection that is lost, beside one that would come up. */
  @Test
  void aConnectionThatIsLostIsReplacedSoon() {
    watches().get(0).closeByPeer();
    net.connectsHang = true;
    net.advance(Span.ofMillis(100));
    net.connectsHang = false;
    net.advance(Span.ofMillis(700));
    assertEquals(3, watches().size());
    watches().get(2).deliver(frame(2, drainOf(1)));
    assertNotified(2);
  }

  /** Guards against a service that is found long after it can be reached again. */
  @Test
  void aServiceThatIsUnreachableIsTriedAtLeastEverySecondAndAHalf() {
    watches().get(0).closeByPeer();
    net.unreachable.add(SERVICE);
    net.advance(Span.ofSeconds(30));
    // The system repeats each request for a connection after 1 s and after 3 s.
    List<Moment> requests =
        net.connectTimes(SERVICE).stream()
            .skip(1)
            .flatMap(at -> Stream.of(at, at.plus(Span.ofSeconds(1)), at.plus(Span.ofSeconds(3))))
            .sorted()
            .toList();
    for (int i = 1; i < requests.size(); i++) {
      Span pause = requests.get(i).since(requests.get(i - 1));
      assertTrue(pause.isShorterThan(Span.ofMillis(1500)), pause + " before request " + i);
    }
    assertTrue(net.connectTimes(SERVICE).size() < 30, "no more than one each second");
  }

  /** Guards against losing a watch that may go on to connections that do not come up. */
  @Test
  void connectionsThatDoNotComeUpReplaceNothing() {
    FakeConnection first = watches().get(0);
    first.deliver(frame(1));
    net.unreachable.add(SERVICE);
    net.advance(Span.ofSeconds(9));
    assertFalse(first.closed);
    first.deliver(frame(2, drainOf(1)));
    assertNotified(2);
  }

  /** Guards against a watch opened after each pause of a service with few heartbeats. */
  @Test
  void aServiceWithLongPausesIsNotAskedAfterEachOfThem() {
    watches().get(0).deliver(frame(1));
    int answered = 1;
    for (int i = 0; i < 600; i++) {
      net.advance(Span.ofMillis(100));
      while (answered < watches().size()) {
        watches().get(answered++).deliver(frame(1));
      }
      if (i % 25 == 24) {
        openWatches().forEach(watch -> watch.deliver(frame(1)));
      }
    }
    assertTrue(watches().size() <= 3, watches().size() + " watches in 60 s");
    assertEquals(1, openWatches().size());
    net.advance(Span.ofMillis(3400));
    assertEquals(2, openWatches().size(), "a stop is still noticed in time");
  }

  /** Guards against keeping connections to a service that does not use them any more. */
  @Test
  void aSilentWatchIsClosedSoonAfterAnotherOneIsAnswered() {
    watches().get(0).deliver(frame(1));
    net.advance(Span.ofMillis(2500));
    watches().get(1).deliver(frame(1));
    net.advance(Span.ofMillis(1000));
    assertEquals(List.of(watches().get(1)), openWatches());
  }

  /** Guards against a new service that waits for the pauses of the old one. */
  @Test
  void aMoveAsksTheNewServiceAtOnceAndOnlyIt() {
    net.advance(Span.ofSeconds(20));
    List<FakeConnection> old = openWatches();
    net.front.changeJournalAddress("127.0.0.1:5");
    net.front.changeJournalAddress("127.0.0.1:6");
    net.runDeferred();
    assertTrue(old.stream().allMatch(watch -> watch.closed));
    assertTrue(net.latestConnection("127.0.0.1:5").closed);
    FakeConnection moved = net.latestConnection("127.0.0.1:6");
    net.advance(Span.ofMillis(2500));
    assertEquals(2, net.connectionCount("127.0.0.1:6"));
    moved.deliver(frame(2, drainOf(1)));
    assertNotified(2);
    assertEquals(1, net.connectionCount("127.0.0.1:5"));
    old.get(0).deliver(frame(3, drainOf(2)));
    assertEquals(0, eventsApplied(3), "the old service has nothing more to tell");
  }
}
