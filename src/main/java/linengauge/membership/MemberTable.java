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

/** All other members that this front knows of, by number. Bounded; those long gone leave. */
final class MemberTable {
  /** In {@link #sampleAlive}: no member is left out. */
  static final int NO_EXCLUSION = -1;

  private final Map<Integer, MemberEntry> entries = new TreeMap<>();
  private final int maxMembers;
  private final SplittableRandom random;
  private int rejected;

  MemberTable(int maxMembers, SplittableRandom random) {
    this.maxMembers = maxMembers;
    this.random = random;
  }

  /** Null where the member is not known. */
  MemberEntry get(int number) {
    return entries.get(number);
  }

  /** A new entry for that member, or null where there are too many. */
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

  /** All that is held, by number. */
  List<MemberUpdate> updates() {
    return entries.values().stream().map(MemberEntry::update).toList();
  }

  int size() {
    return entries.size();
  }

  /** Members that were not taken in since there were too many. */
  int rejected() {
    return rejected;
  }

  /** How many of the others are there, suspected ones among them. */
  long countPresent() {
    return entries.values().stream().filter(MemberEntry::isPresent).count();
  }

  /** So many at the most that are there and not suspected, drawn at random. */
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

  /** Forgets those that have been gone for longer than that. */
  void removeExpired(Moment now, Span retention) {
    entries
        .values()
        .removeIf(entry -> !entry.isPresent() && retention.under(now.since(entry.since())));
  }

  /** This front was not there to hear anybody for so long: suspicions last so much longer. */
  void extendSuspicions(Span span) {
    for (MemberEntry entry : entries.values()) {
      if (entry.suspicion() != null) {
        entry.suspicion().extend(span);
      }
    }
  }
}
