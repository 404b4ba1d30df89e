package linengauge.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;

class DoorTest {
  private static final ListenerSettings TERMS =
      new ListenerSettings(
          true,
          80,
          40,
          3,
          Span.ofSeconds(2),
          Span.ofSeconds(3),
          Span.ofSeconds(10),
          2,
          3,
          Span.ofSeconds(5),
          50);

  private final ConnectionLedger book = new ConnectionLedger(TERMS);
  private final LoopClock time = new LoopClock(Span.ofMillis(100), Span.ofMillis(200));
  private final ConnectionAttempts knocks = new ConnectionAttempts(TERMS, time);
  private final List<ConnectionAttempt.State> closed = new ArrayList<>();
  private Moment now = new Moment(5_000_000);

  private void run(double seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      now = now.plus(Span.ofMillis(100));
      knocks.tick(time.tick(now));
    }
  }

  @Test
  void oneAddressTakesNoMoreThanItsPlacesAndTheRestHearAnAnswerWhileThereAreMouths() {
    for (int i = 0; i < 40; i++) {
      assertEquals(ConnectionLedger.Admission.SERVED, book.admit("a"));
    }
    for (int i = 0; i < 3; i++) {
      assertEquals(ConnectionLedger.Admission.REJECTED, book.admit("a"));
    }
    assertEquals(ConnectionLedger.Admission.DROPPED, book.admit("a"));
    assertEquals(
        ConnectionLedger.Admission.SERVED, book.admit("b"), "another address finds its place");
    book.release("a", ConnectionLedger.Admission.REJECTED);
    assertEquals(ConnectionLedger.Admission.REJECTED, book.admit("a"));
  }

  @Test
  void theLastPlacesAreForAddressesThatHaveLessThanTheirEvenPart() {
    for (String address : List.of("a", "b")) {
      for (int i = 0; i < 35; i++) {
        assertEquals(ConnectionLedger.Admission.SERVED, book.admit(address));
      }
    }
    for (int i = 0; i < 10; i++) {
      assertEquals(
          ConnectionLedger.Admission.SERVED, book.admit("c"), "a newcomer gets the last places");
    }
    assertEquals(80, book.served());
    assertEquals(ConnectionLedger.Admission.REJECTED, book.admit("d"), "and none over the whole");
    for (int i = 0; i < 10; i++) {
      book.release("c", ConnectionLedger.Admission.SERVED);
    }
    assertEquals(ConnectionLedger.Admission.SERVED, book.admit("c"));
    assertEquals(
        ConnectionLedger.Admission.REJECTED, book.admit("a"), "one that has its part does not");
  }

  @Test
  void thePlacesAddUpAfterAnyComingAndGoing() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      ConnectionLedger b = new ConnectionLedger(TERMS);
      List<String> who = new ArrayList<>();
      List<ConnectionLedger.Admission> got = new ArrayList<>();
      for (int i = 0; i < 2000; i++) {
        if (chance.nextInt(5) < 3) {
          String address = "" + chance.nextInt(1 + chance.nextInt(30));
          who.add(address);
          got.add(b.admit(address));
        } else if (!who.isEmpty()) {
          int n = chance.nextInt(who.size());
          b.release(who.remove(n), got.remove(n));
        }
        assertTrue(b.served() <= TERMS.connections() && b.rejecting() <= TERMS.turningAway());
        assertEquals(
            got.stream().filter(e -> e == ConnectionLedger.Admission.SERVED).count(), b.served());
      }
      for (int n = who.size() - 1; n >= 0; n--) {
        b.release(who.get(n), got.get(n));
      }
      assertEquals(0, b.served() + b.rejecting() + b.addresses());
    }
  }

  @Test
  void aKeyAsksSoOftenInAnyWindowAndTheTableOfKeysIsBounded() {
    for (int i = 0; i < 3; i++) {
      assertTrue(book.admitRequest("k", now));
    }
    assertFalse(book.admitRequest("k", now));
    assertTrue(book.admitRequest("other", now));
    assertFalse(book.admitRequest("k", now.plus(Span.ofMillis(4999))));
    assertTrue(book.admitRequest("k", now.plus(Span.ofSeconds(5))));
    for (int i = 0; i < 1000; i++) {
      book.admitRequest("key " + i, now);
    }
    assertEquals(TERMS.keys(), book.trackedKeys());
  }

  @Test
  void aNeighbourThatSendsWithoutEndIsHeardAtItsRateAndTheOthersAtTheirs() {
    DatagramRateLimiter intake = new DatagramRateLimiter(100, 4);
    int heard = 0;
    int other = 0;
    for (int ms = 0; ms < 10_000; ms++) {
      now = now.plus(Span.ofMillis(1));
      for (int i = 0; i < 5; i++) {
        heard += intake.accept("flood", now) ? 1 : 0;
      }
      other += ms % 20 == 0 && intake.accept("quiet", now) ? 1 : 0;
    }
    assertTrue(heard <= 100 + 1000 && heard > 1000, "" + heard);
    assertEquals(500, other);
    assertEquals(50_000 - heard, intake.dropped());
    for (int i = 0; i < 1000; i++) {
      intake.accept("stranger " + i, now);
    }
    assertEquals(4, intake.senders());
  }

  private ConnectionAttempt knock() {
    return knocks.open(closed::add);
  }

  @Test
  void oneThatSaysNothingIsClosedAfterItsTime() {
    run(1);
    knock();
    run(1.9);
    assertEquals(List.of(), closed);
    run(0.2);
    assertEquals(List.of(ConnectionAttempt.State.FIRST_BYTE), closed);
    assertEquals(0, knocks.pending());
  }

  @Test
  void headersThatDripAreClosedHoweverOftenAByteComes() {
    run(1);
    ConnectionAttempt k = knock();
    for (int i = 0; i < 40; i++) {
      run(0.1);
      k.byteReceived();
    }
    assertEquals(List.of(ConnectionAttempt.State.HEADERS), closed);
  }

  @Test
  void oneThatIsAnsweredMayRestAndOneWhoseNextRequestHasBegunMayNot() {
    run(1);
    ConnectionAttempt rests = knock();
    ConnectionAttempt begun = knock();
    for (ConnectionAttempt k : List.of(rests, begun)) {
      k.byteReceived();
      assertTrue(k.requestReceived());
    }
    run(100);
    assertEquals(List.of(), closed, "while it is answered nothing is due");
    begun.byteReceived();
    rests.responseEnded();
    begun.responseEnded();
    run(3.1);
    assertEquals(List.of(ConnectionAttempt.State.HEADERS), closed);
    run(7);
    assertEquals(List.of(ConnectionAttempt.State.HEADERS, ConnectionAttempt.State.BETWEEN), closed);
  }

  @Test
  void moreThanSoManyRequestsMayNotWaitBehindOne() {
    ConnectionAttempt k = knock();
    assertTrue(k.requestReceived() && k.requestReceived() && k.requestReceived());
    assertFalse(k.requestReceived());
    k.responseEnded();
    assertTrue(k.requestReceived());
  }

  @Test
  void aLoopThatStoodStillClosesNobodyForIt() {
    run(1);
    ConnectionAttempt k = knock();
    run(1.5);
    ConnectionAttempt silent = knock();
    now = now.plus(Span.ofSeconds(30));
    knocks.tick(time.tick(now));
    k.byteReceived(); // it had come meanwhile
    silent.close();
    run(2);
    assertEquals(List.of(), closed);
    k.close();
    assertEquals(0, knocks.pending());
  }
}
