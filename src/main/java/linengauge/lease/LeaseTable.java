package linengauge.lease;

import java.util.HashMap;
import java.util.Map;
import linengauge.Moment;

/** When each listed life was last heard of at a control machine; one lease for each member. */
final class LeaseTable {
  /** The lease of one life. */
  static final class Lease {
    private final long incarnation;
    private Moment heardAt;
    private Moment heardHereAt = Moment.DISTANT_PAST;
    private Moment confirmedAt = Moment.DISTANT_PAST;

    private Lease(long incarnation, Moment heardAt) {
      this.incarnation = incarnation;
      this.heardAt = heardAt;
    }

    /** Heard by any control machine, or listed; for the leader to let it expire. */
    Moment heardAt() {
      return heardAt;
    }

    /** The last heartbeat that this control machine itself heard. */
    Moment heardHereAt() {
      return heardHereAt;
    }

    /** The last heartbeat heard here that the leader is known to know of. */
    Moment confirmedAt() {
      return confirmedAt;
    }
  }

  private final Map<Integer, Lease> leases = new HashMap<>();

  /** The lease of a listed life; begins now where there was none. */
  Lease of(DirectoryEntry entry, Moment now) {
    int number = entry.member().number();
    Lease lease = leases.get(number);
    if (lease == null || lease.incarnation != entry.incarnation()) {
      lease = new Lease(entry.incarnation(), now);
      leases.put(number, lease);
    }
    return lease;
  }

  void heardHere(DirectoryEntry entry, Moment now) {
    Lease lease = of(entry, now);
    lease.heardAt = now;
    lease.heardHereAt = now;
  }

  void heardElsewhere(DirectoryEntry entry, Moment now) {
    of(entry, now).heardAt = now;
  }

  /** The leader knows of a heartbeat of that life heard here at that moment. */
  void confirmed(int number, long incarnation, Moment heardHereAt) {
    Lease lease = leases.get(number);
    if (lease != null && lease.incarnation == incarnation) {
      lease.confirmedAt = lease.confirmedAt.max(heardHereAt);
    }
  }

  /** Forgets whoever is not listed as present any more. */
  void retainListed(MemberDirectory directory) {
    leases
        .entrySet()
        .removeIf(
            one -> {
              DirectoryEntry entry = directory.entry(one.getKey());
              return entry == null
                  || entry.state() != DirectoryEntry.State.PRESENT
                  || entry.incarnation() != one.getValue().incarnation;
            });
  }
}
