package linengauge.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;

/**
 * What a control machine wants changed, gathered for a while and proposed together, one decision on
 * its way at a time. What did not come about is proposed again while it is still needed.
 */
final class ChangeBatcher {
  /** Bytes of a decision at the most, below what the log takes. */
  static final int MOST_BYTES = 12 * 1024;

  /** Leases after which a proposal that has not ended is given up. */
  private static final int LEASES_OUTSTANDING = 3;

  /** A front's change, and when it was last asked for. */
  private record Wanted(DirectoryChange change, Moment askedAt) {}

  /** A life that the leader proposed to expire, and the term in which it did. */
  private record Expiring(long incarnation, long term) {}

  /** The decision on its way. */
  private static final class Outstanding {
    private final Moment until;

    private Outstanding(Moment until) {
      this.until = until;
    }
  }

  private final LeaseSettings settings;
  private final MemberDirectory directory;
  private final Map<Integer, Wanted> wanted = new LinkedHashMap<>();
  private final Map<Integer, Expiring> expiring = new TreeMap<>();
  private Outstanding outstanding;
  private Moment sendAt;
  private long proposals;
  private long changes;

  ChangeBatcher(LeaseSettings settings, MemberDirectory directory) {
    this.settings = settings;
    this.directory = directory;
  }

  /** A front's registration or leaving; the later word of a front takes the place of the former. */
  void want(int number, DirectoryChange change, Moment now) {
    if (!wanted.containsKey(number) && wanted.size() >= settings.mostMembers()) {
      return;
    }
    wanted.put(number, new Wanted(change, now));
    scheduleBy(now.plus(settings.batch()));
  }

  /** What is wanted goes out at that moment at the latest, if nothing is on its way then. */
  void scheduleBy(Moment at) {
    sendAt = sendAt == null || at.isBefore(sendAt) ? at : sendAt;
  }

  boolean isIdle() {
    return outstanding == null;
  }

  /** Whether a proposal of the leader's to expire that number may still be decided. */
  boolean isExpiring(int number) {
    return expiring.containsKey(number);
  }

  /** Whether proposals to expire members ended without a result: a new term has to void them. */
  boolean needsNewTerm() {
    return isIdle() && !expiring.isEmpty();
  }

  /** When to step, or null. */
  Moment next() {
    return outstanding == null ? sendAt : outstanding.until;
  }

  boolean isDue(Moment now) {
    return outstanding == null && sendAt != null && !now.isBefore(sendAt);
  }

  /** Gives up a proposal that has taken too long; it may still be decided. */
  void giveUpLate(Moment now) {
    if (outstanding != null && !now.isBefore(outstanding.until)) {
      ended(now);
    }
  }

  /** Proposes the leader's changes and those of fronts, so many at the most. */
  void propose(
      Moment now,
      Collection<DirectoryChange> ofLeader,
      int most,
      Registrar.Port port,
      Runnable end) {
    sendAt = null;
    List<DirectoryChange> batch = compose(ofLeader, most);
    if (batch.isEmpty()) {
      return;
    }
    proposals++;
    changes += batch.size();
    batch.forEach(this::noteExpiring);
    Outstanding sent = new Outstanding(now.plus(settings.lease().times(LEASES_OUTSTANDING)));
    outstanding = sent;
    Consumer<Boolean> ended =
        decided -> {
          if (outstanding == sent) {
            end.run();
          }
        };
    port.propose(MemberDirectory.encode(batch), ended);
  }

  private List<DirectoryChange> compose(Collection<DirectoryChange> ofLeader, int most) {
    List<DirectoryChange> batch = new ArrayList<>();
    for (DirectoryChange change : ofLeader) {
      if (batch.size() < most) {
        batch.add(change);
      }
    }
    for (Wanted one : wanted.values()) {
      if (batch.size() < most) {
        batch.add(one.change());
      }
    }
    return batch;
  }

  private void noteExpiring(DirectoryChange change) {
    if (change instanceof DirectoryChange.Departed departed
        && departed.why() == DirectoryEntry.State.EXPIRED) {
      expiring.put(departed.number(), new Expiring(departed.incarnation(), departed.term()));
    }
  }

  /** The proposal on its way has ended, or counts as such. */
  void ended(Moment now) {
    outstanding = null;
    dropNeedless(now);
    if (!wanted.isEmpty()) {
      scheduleBy(now.plus(settings.batch()));
    }
  }

  /** Forgets what has come about, can no longer, or is of fronts that have gone silent. */
  void dropNeedless(Moment now) {
    Span lease = settings.lease();
    wanted
        .values()
        .removeIf(one -> lease.isShorterThan(now.since(one.askedAt())) || !isNeeded(one.change()));
    expiring.entrySet().removeIf(one -> isResolved(one.getKey(), one.getValue()));
  }

  private boolean isNeeded(DirectoryChange change) {
    if (change instanceof DirectoryChange.Registered registered) {
      DirectoryEntry entry = directory.entry(registered.member().number());
      return entry == null || entry.incarnation() < registered.incarnation();
    }
    if (change instanceof DirectoryChange.Departed departed) {
      DirectoryEntry entry = directory.entry(departed.number());
      return isPresent(entry, departed.incarnation());
    }
    return false;
  }

  private boolean isResolved(int number, Expiring life) {
    return directory.term() != life.term()
        || !isPresent(directory.entry(number), life.incarnation());
  }

  private static boolean isPresent(DirectoryEntry entry, long incarnation) {
    return entry != null
        && entry.state() == DirectoryEntry.State.PRESENT
        && entry.incarnation() == incarnation;
  }

  long proposals() {
    return proposals;
  }

  long changes() {
    return changes;
  }
}
