package linengauge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.Moment;
import linengauge.Span;

/**
 * Table of all other known members by number. Its size is bounded and old absent entries expire.
 */
final class MemberTable {
  /** Argument of {@link #sampleAlive} that excludes no member. */
  static final int NO_EXCLUSION = -1;

  private final Map<Integer, MemberEntry> entries = new TreeMap<>();
  private final int maxMembers;
  private final SplittableRandom random;
  private int rejected;

  MemberTable(int maxMembers, SplittableRandom random) {
    this.maxMembers = maxMembers;
    this.random = random;
  }

  /** Returns the member's entry, or null if it is unknown. */
  MemberEntry get(int number) {
    return entries.get(number);
  }

  /** Adds an entry for the member, or returns null if the table is full. */
  MemberEntry add(int number, Moment now) {
    if (entries.size() >= maxMembers) {
      rejected++;
      return null;
    }
    MemberEntry entry = new MemberEntry(now);
    entries.put(number, entry);
    return entry;
  }

  Collection<MemberEntry> all() {
    return entries.values();
  }

  /** Returns the current update of every member, ordered by number. */
  List<MemberUpdate> updates() {
    return entries.values().stream().map(MemberEntry::update).toList();
  }

  int size() {
    return entries.size();
  }

  /** Number of members rejected because the table was full. */
  int rejected() {
    return rejected;
  }

  /** Number of other members present, including suspected ones. */
  long countPresent() {
    return entries.values().stream().filter(MemberEntry::isPresent).count();
  }

  /** Returns a random sample of members that are alive and not suspected. */
  List<MemberEntry> sampleAlive(int maxCount, int excluded) {
    List<MemberEntry> alive = new ArrayList<>();
    entries.forEach(
        (number, entry) -> {
          if (number != excluded && entry.is(MemberState.ALIVE)) {
            alive.add(entry);
          }
        });
    Collections.shuffle(alive, new Random(random.nextLong()));
    return alive.subList(0, Math.min(maxCount, alive.size()));
  }

  /** Removes members that have been absent for longer than {@code retention}. */
  void removeExpired(Moment now, Span retention) {
    entries
        .values()
        .removeIf(entry -> !entry.isPresent() && retention.isShorterThan(now.since(entry.since())));
  }

  /** Extends all suspicions by a time in which this front could not receive refutations. */
  void extendSuspicions(Span span) {
    for (MemberEntry entry : entries.values()) {
      if (entry.suspicion() != null) {
        entry.suspicion().extend(span);
      }
    }
  }
}
