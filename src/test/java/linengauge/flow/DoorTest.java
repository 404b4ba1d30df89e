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
  private static final DoorTerms TERMS =
      new DoorTerms(
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

  private final DoorBook book = new DoorBook(TERMS);
  private final OwnTime time = new OwnTime(Span.ofMillis(100), Span.ofMillis(200));
  private final Knocks knocks = new Knocks(TERMS, time);
  private final List<Knock.State> closed = new ArrayList<>();
  private Moment now = new Moment(5_000_000);

  private void run(double seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      now = now.plus(Span.ofMillis(100));
      knocks.look(time.beat(now));
    }
  }

  @Test
  void oneAddressTakesNoMoreThanItsPlacesAndTheRestHearAnAnswerWhileThereAreMouths() {
    for (int i = 0; i < 40; i++) {
      assertEquals(DoorBook.Entry.SERVED, book.enters("a"));
    }
    for (int i = 0; i < 3; i++) {
      assertEquals(DoorBook.Entry.TURNED_AWAY, book.enters("a"));
    }
    assertEquals(DoorBook.Entry.SHUT_OUT, book.enters("a"));
    assertEquals(DoorBook.Entry.SERVED, book.enters("b"), "another address finds its place");
    book.leaves("a", DoorBook.Entry.TURNED_AWAY);
    assertEquals(DoorBook.Entry.TURNED_AWAY, book.enters("a"));
  }

  @Test
  void theLastPlacesAreForAddressesThatHaveLessThanTheirEvenPart() {
    for (String address : List.of("a", "b")) {
      for (int i = 0; i < 35; i++) {
        assertEquals(DoorBook.Entry.SERVED, book.enters(address));
      }
    }
    for (int i = 0; i < 10; i++) {
      assertEquals(DoorBook.Entry.SERVED, book.enters("c"), "a newcomer gets the last places");
    }
    assertEquals(80, book.served());
    assertEquals(DoorBook.Entry.TURNED_AWAY, book.enters("d"), "and none over the whole");
    for (int i = 0; i < 10; i++) {
      book.leaves("c", DoorBook.Entry.SERVED);
    }
    assertEquals(DoorBook.Entry.SERVED, book.enters("c"));
    assertEquals(DoorBook.Entry.TURNED_AWAY, book.enters("a"), "one that has its part does not");
  }

  @Test
  void thePlacesAddUpAfterAnyComingAndGoing() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      DoorBook b = new DoorBook(TERMS);
      List<String> who = new ArrayList<>();
      List<DoorBook.Entry> got = new ArrayList<>();
      for (int i = 0; i < 2000; i++) {
        if (chance.nextInt(5) < 3) {
          String address = "" + chance.nextInt(1 + chance.nextInt(30));
          who.add(address);
          got.add(b.enters(address));
        } else if (!who.isEmpty()) {
          int n = chance.nextInt(who.size());
          b.leaves(who.remove(n), got.remove(n));
        }
        assertTrue(b.served() <= TERMS.connections() && b.turningAway() <= TERMS.turningAway());
        assertEquals(got.stream().filter(e -> e == DoorBook.Entry.SERVED).count(), b.served());
      }
      for (int n = who.size() - 1; n >= 0; n--) {
        b.leaves(who.get(n), got.get(n));
      }
      assertEquals(0, b.served() + b.turningAway() + b.addresses());
    }
  }

  @Test
  void aKeyAsksSoOftenInAnyWindowAndTheTableOfKeysIsBounded() {
    for (int i = 0; i < 3; i++) {
      assertTrue(book.asks("k", now));
    }
    assertFalse(book.asks("k", now));
    assertTrue(book.asks("other", now));
    assertFalse(book.asks("k", now.plus(Span.ofMillis(4999))));
    assertTrue(book.asks("k", now.plus(Span.ofSeconds(5))));
    for (int i = 0; i < 1000; i++) {
      book.asks("key " + i, now);
    }
    assertEquals(TERMS.keys(), book.keysRemembered());
  }

  @Test
  void aNeighbourThatSendsWithoutEndIsHeardAtItsRateAndTheOthersAtTheirs() {
    Intake intake = new Intake(100, 4);
    int heard = 0;
    int other = 0;
    for (int ms = 0; ms < 10_000; ms++) {
      now = now.plus(Span.ofMillis(1));
      for (int i = 0; i < 5; i++) {
        heard += intake.hears("flood", now) ? 1 : 0;
      }
      other += ms % 20 == 0 && intake.hears("quiet", now) ? 1 : 0;
    }
    assertTrue(heard <= 100 + 1000 && heard > 1000, "" + heard);
    assertEquals(500, other);
    assertEquals(50_000 - heard, intake.passedOver());
    for (int i = 0; i < 1000; i++) {
      intake.hears("stranger " + i, now);
    }
    assertEquals(4, intake.senders());
  }

  private Knock knock() {
    return knocks.open(closed::add);
  }

  @Test
  void oneThatSaysNothingIsClosedAfterItsTime() {
    run(1);
    knock();
    run(1.9);
    assertEquals(List.of(), closed);
    run(0.2);
    assertEquals(List.of(Knock.State.FIRST_BYTE), closed);
    assertEquals(0, knocks.waiting());
  }

  @Test
  void headersThatDripAreClosedHoweverOftenAByteComes() {
    run(1);
    Knock k = knock();
    for (int i = 0; i < 40; i++) {
      run(0.1);
      k.heard();
    }
    assertEquals(List.of(Knock.State.HEADERS), closed);
  }

  @Test
  void oneThatIsAnsweredMayRestAndOneWhoseNextRequestHasBegunMayNot() {
    run(1);
    Knock rests = knock();
    Knock begun = knock();
    for (Knock k : List.of(rests, begun)) {
      k.heard();
      assertTrue(k.asked());
    }
    run(100);
    assertEquals(List.of(), closed, "while it is answered nothing is due");
    begun.heard();
    rests.answered();
    begun.answered();
    run(3.1);
    assertEquals(List.of(Knock.State.HEADERS), closed);
    run(7);
    assertEquals(List.of(Knock.State.HEADERS, Knock.State.BETWEEN), closed);
  }

  @Test
  void moreThanSoManyRequestsMayNotWaitBehindOne() {
    Knock k = knock();
    assertTrue(k.asked() && k.asked() && k.asked());
    assertFalse(k.asked());
    k.answered();
    assertTrue(k.asked());
  }

  @Test
  void aLoopThatStoodStillClosesNobodyForIt() {
    run(1);
    Knock k = knock();
    run(1.5);
    Knock silent = knock();
    now = now.plus(Span.ofSeconds(30));
    knocks.look(time.beat(now));
    k.heard(); // it had come meanwhile
    silent.close();
    run(2);
    assertEquals(List.of(), closed);
    k.close();
    assertEquals(0, knocks.waiting());
  }
}
