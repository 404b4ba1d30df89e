package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Span;
import linengauge.consensus.CommittedLog;
import linengauge.lease.DirectoryEntry.State;
import linengauge.membership.Member;
import org.junit.jupiter.api.Test;

/** The directory as a state machine of the log. */
class MemberDirectoryTest {
  private static final String ADDRESS = "127.0.0.1:7";
  private static final int ROOM = 1 << 20;

  private final MemberDirectory directory = new MemberDirectory(LeaseSettings.USUAL);

  private static LeaseSettings mostMembers(int most) {
    return new LeaseSettings(
        Span.ofMillis(1000),
        Span.ofMillis(700),
        Span.ofSeconds(6),
        0.01,
        Span.ofMillis(500),
        Span.ofMillis(200),
        Span.ofSeconds(2),
        4096,
        most,
        128);
  }

  private static DirectoryChange registered(int number, long incarnation) {
    return new DirectoryChange.Registered(new Member(number, ADDRESS, 1, 1), incarnation);
  }

  private static DirectoryChange left(int number, long incarnation) {
    return new DirectoryChange.Departed(number, incarnation, State.LEFT, 0);
  }

  private static DirectoryChange expired(int number, long incarnation, long term) {
    return new DirectoryChange.Departed(number, incarnation, State.EXPIRED, term);
  }

  private static void apply(MemberDirectory to, DirectoryChange... changes) {
    to.apply(1, 0, MemberDirectory.encode(List.of(changes)));
  }

  private State stateOf(int number) {
    return directory.entry(number).state();
  }

  @Test
  void aLaterLifeIsListedAndTheSameOrAnEarlierOneChangesNothing() {
    apply(directory, registered(7, 5));
    apply(directory, registered(7, 5), registered(7, 4));
    assertEquals(1, directory.version());

    apply(directory, registered(7, 6));
    assertEquals(2, directory.version());
    assertEquals(6, directory.entry(7).incarnation());
    assertEquals(2, directory.entry(7).version());
  }

  /** A late or doubled registration must not bring back who has gone. */
  @Test
  void anExpiredLifeDoesNotComeBackWithTheSameIncarnation() {
    apply(directory, registered(7, 5), expired(7, 5, 0));
    apply(directory, registered(7, 5));
    assertEquals(State.EXPIRED, stateOf(7));

    apply(directory, registered(7, 6));
    assertEquals(State.PRESENT, stateOf(7));
  }

  /** An expiry on its way while the front began another life must not hit that one. */
  @Test
  void onlyThatVeryLifeDeparts() {
    apply(directory, registered(7, 6));
    apply(directory, left(7, 5), left(7, 7), left(8, 6));
    assertEquals(1, directory.version());

    apply(directory, left(7, 6));
    apply(directory, expired(7, 6, 0));
    assertEquals(State.LEFT, stateOf(7));
    assertEquals(2, directory.version());
  }

  /**
   * A deposed leader's expiry, decided late, must not end a lease that the next leader confirmed.
   */
  @Test
  void anExpiryOfAnEarlierTermIsVoid() {
    apply(directory, registered(7, 6), new DirectoryChange.Leads(0, 11, 1));
    apply(directory, new DirectoryChange.Leads(1, 12, 2));
    apply(directory, expired(7, 6, 1));
    assertEquals(State.PRESENT, stateOf(7));

    apply(directory, expired(7, 6, 2));
    assertEquals(State.EXPIRED, stateOf(7));
  }

  /** Of two that claim the same term the one that is decided first has it. */
  @Test
  void aTermBeginsOnce() {
    apply(directory, new DirectoryChange.Leads(0, 11, 1));
    apply(directory, new DirectoryChange.Leads(1, 12, 1), new DirectoryChange.Leads(1, 12, 3));

    assertEquals(0, directory.leader());
    assertEquals(11, directory.leaderLife());
    assertEquals(1, directory.term());
    assertEquals(1, directory.version());
  }

  @Test
  void aRegionIsMarkedOnceAndItsMembersStay() {
    apply(directory, registered(7, 6));
    long before = directory.digest();
    apply(directory, new DirectoryChange.RegionReachable(1, false));
    apply(directory, new DirectoryChange.RegionReachable(1, false));

    assertEquals(2, directory.version());
    assertEquals(0b10, directory.unreachable());
    assertNotEquals(before, directory.digest());
    assertEquals(State.PRESENT, stateOf(7));
    apply(directory, new DirectoryChange.RegionReachable(1, true));
    assertEquals(before, directory.digest());
    assertEquals(0, directory.unreachable());
  }

  @Test
  void nonsenseChangesNothing() {
    apply(directory, registered(7, 6));
    byte[] whole = directory.whole();
    byte[] good = MemberDirectory.encode(List.of(registered(8, 1)));
    directory.apply(2, 0, new byte[0]);
    directory.apply(2, 0, Arrays.copyOf(good, good.length - 1));
    directory.apply(2, 0, Arrays.copyOf(good, good.length + 1));
    good[0]++;
    directory.apply(2, 0, good);
    apply(directory, new DirectoryChange.Departed(7, 6, State.PRESENT, 0));

    assertArrayEquals(whole, directory.whole());
  }

  @Test
  void decisionsAreReadAsTheyWereWritten() {
    List<DirectoryChange> changes =
        List.of(
            registered(7, 6),
            left(8, 9),
            expired(9, 10, 11),
            new DirectoryChange.RegionReachable(63, false),
            new DirectoryChange.RegionReachable(0, true),
            new DirectoryChange.Leads(5, -1, 3));

    assertEquals(changes, MemberDirectory.decode(MemberDirectory.encode(changes)));
    assertThrows(
        IllegalArgumentException.class,
        () -> MemberDirectory.encode(List.of(new DirectoryChange.RegionReachable(64, true))));
  }

  @Test
  void whatChangedSinceIsGivenInOrderOfVersionAPageAtATime() {
    for (int number = 10; number < 20; number++) {
      apply(directory, registered(number, 1));
    }
    apply(directory, registered(12, 2), left(15, 1));
    int size = LeaseCodec.size(directory.entry(12));

    List<Long> versions = new ArrayList<>();
    long from = 5;
    for (List<DirectoryEntry> page = directory.since(from, 2 * size);
        !page.isEmpty();
        page = directory.since(from, 2 * size)) {
      assertTrue(page.size() <= 2);
      page.forEach(entry -> versions.add(entry.version()));
      from = page.get(page.size() - 1).version();
    }
    assertEquals(List.of(7L, 8L, 9L, 10L, 11L, 12L), versions);
    assertEquals(List.of(), directory.since(12, ROOM));
  }

  /** The room is bounded; what was dropped is known, so that nobody misses a departure for ever. */
  @Test
  void theOldestDepartedAreDroppedFirstAndNoMoreThanTheBoundAreTaken() {
    MemberDirectory small = new MemberDirectory(mostMembers(4));
    apply(small, registered(1, 1), registered(2, 1), registered(3, 1), registered(4, 1));
    apply(small, left(2, 1), left(1, 1)); // versions 5 and 6
    assertFalse(small.resets(4));

    apply(small, registered(5, 1));
    assertNull(small.entry(2), "the one that departed first");
    assertEquals(State.LEFT, small.entry(1).state());
    assertTrue(small.resets(4));
    assertFalse(small.resets(5));

    apply(small, registered(6, 1));
    assertFalse(small.hasRoom());
    apply(small, registered(7, 1));
    assertNull(small.entry(7), "one too many");
    apply(small, registered(3, 2));
    assertEquals(2, small.entry(3).incarnation(), "another life needs no room");
  }

  /** A front that starts has no use for who went before it; one that was away has. */
  @Test
  void aViewBegunFromNothingIsNotToldOfWhoWentBefore() {
    apply(directory, registered(1, 1), registered(2, 1), left(1, 1), registered(3, 1)); // 3: left

    assertEquals(2, directory.page(0, 0, ROOM).entries().size());
    assertEquals(1, directory.page(2, 4, ROOM).entries().size());
    assertEquals(2, directory.page(2, 2, ROOM).entries().size());
    assertEquals(4, directory.page(0, 0, ROOM).upTo());
  }

  @Test
  void aCopyRestoredFromTheWholeIsTheSame() {
    MemberDirectory small = new MemberDirectory(mostMembers(4));
    apply(small, registered(1, 1), registered(2, 1), registered(3, 1), registered(4, 1));
    apply(small, left(2, 1), left(1, 1), registered(5, 1));
    apply(small, new DirectoryChange.RegionReachable(2, false));
    apply(small, new DirectoryChange.Leads(3, 44, 1));
    MemberDirectory copy = new MemberDirectory(mostMembers(4));
    apply(copy, registered(9, 9));

    copy.restore(small.whole());

    assertArrayEquals(small.whole(), copy.whole());
    assertEquals(small.digest(), copy.digest());
    assertEquals(small.since(0, ROOM), copy.since(0, ROOM));
    assertEquals(small.resets(4), copy.resets(4));
    apply(small, registered(6, 1), expired(5, 1, 1));
    apply(copy, registered(6, 1), expired(5, 1, 1));
    assertArrayEquals(small.whole(), copy.whole());
  }

  /** The digest is kept change by change: it must be that of the same entries put in any order. */
  @Test
  void theDigestIsThatOfTheEntriesHoweverTheyCame() {
    SplittableRandom chance = new SplittableRandom(3);
    MemberDirectory small = new MemberDirectory(mostMembers(30));
    for (int i = 0; i < 2_000; i++) {
      int number = chance.nextInt(60);
      DirectoryEntry entry = small.entry(number);
      long incarnation = entry == null ? 1 : entry.incarnation() + chance.nextInt(2);
      apply(
          small,
          chance.nextBoolean() ? registered(number, incarnation) : left(number, incarnation));
      MemberDirectory copy = new MemberDirectory(mostMembers(30));
      copy.restore(small.whole());
      assertEquals(copy.digest(), small.digest());
      assertEquals(copy.presentCount(), small.presentCount());
      assertTrue(small.entries().size() <= 30);
    }
  }

  /** The whole has to fit what the log takes, also where every address is as long as can be. */
  @Test
  void theWholeFitsTheLogsBoundWhateverTheAddresses() {
    String longest = "a".repeat(Layout.MOST_ADDRESS);
    for (int number = 0; number < 5_000; number++) {
      apply(directory, new DirectoryChange.Registered(new Member(number, longest, 0, 0), 1));
    }
    assertTrue(directory.whole().length <= CommittedLog.MOST, "" + directory.whole().length);
    assertTrue(directory.presentCount() > 3_000, "" + directory.presentCount());
    MemberDirectory numeric = new MemberDirectory(LeaseSettings.USUAL);
    for (int number = 0; number < 5_000; number++) {
      apply(numeric, registered(number, 1));
    }
    assertEquals(4_096, numeric.presentCount());
    assertTrue(numeric.whole().length <= CommittedLog.MOST, "" + numeric.whole().length);
  }
}
