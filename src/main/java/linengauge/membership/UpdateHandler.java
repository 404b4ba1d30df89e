package linengauge.membership;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;

/**
 * Applies updates to the member table by incarnation and state (SWIM, 4.2), and counts
 * confirmations of suspicions (Lifeguard, IV.B).
 */
final class UpdateHandler {
  private final Membership membership;
  private final MembershipSettings settings;
  private final OwnMember own;
  private final MemberTable table;
  private final Dissemination dissemination;
  private final LocalHealth health;
  private final Membership.Port port;

  UpdateHandler(
      Membership membership,
      MembershipSettings settings,
      OwnMember own,
      MemberTable table,
      Dissemination dissemination,
      LocalHealth health,
      Membership.Port port) {
    this.membership = membership;
    this.settings = settings;
    this.own = own;
    this.table = table;
    this.dissemination = dissemination;
    this.health = health;
    this.port = port;
  }

  /**
   * Handles an update about any member. One with an implausible incarnation is ignored, because no
   * front could refute it.
   *
   * @param disseminate whether the update is sent on to others; updates from a page are not
   */
  void onUpdate(MemberUpdate update, Moment now, boolean disseminate) {
    if (!own.isPlausible(update)) {
      return;
    }
    if (update.member().number() == own.number()) {
      onOwnUpdate(update);
      return;
    }
    MemberEntry entry = table.get(update.member().number());
    if (entry == null) {
      onNewMember(update, now, disseminate);
    } else if (update.supersedes(entry.update())) {
      if (update.state() == MemberState.DEAD && entry.isPresent()) {
        onReportedDeath(entry, update, now);
      } else {
        accept(entry, update, now, disseminate);
      }
    } else if (confirmsSuspicion(entry, update)) {
      dissemination.add(update);
    }
  }

  private void onNewMember(MemberUpdate update, Moment now, boolean disseminate) {
    if (!update.state().isPresent()) {
      return; // The member has expired or was never known, so there is nothing to remove.
    }
    MemberEntry entry = table.add(update.member().number(), now);
    if (entry != null) {
      accept(entry, update, now, disseminate);
    }
  }

  private boolean confirmsSuspicion(MemberEntry entry, MemberUpdate update) {
    return update.state() == MemberState.SUSPECT
        && update.incarnation() == entry.update().incarnation()
        && entry.suspicion() != null
        && update.source() != own.number()
        && entry.suspicion().confirm(update.source());
  }

  /**
   * Handles a reported death. A front that has not suspected the member yet only starts to suspect
   * it, so that the member can refute the report; otherwise one faulty front could remove all
   * others. The cost: where the suspicion was not received, the death is detected one suspicion
   * timeout later, shortened by confirmations.
   */
  private void onReportedDeath(MemberEntry entry, MemberUpdate update, Moment now) {
    boolean suspected =
        entry.suspicion() != null && entry.update().incarnation() == update.incarnation();
    if (!membership.verifiesReportedDeaths()) {
      accept(entry, update, now, true);
    } else if (suspected) {
      entry.suspicion().confirm(update.source());
      if (!now.isBefore(entry.suspicion().endsAt())) {
        accept(entry, update, now, true);
      }
    } else {
      suspect(entry, update.source(), update.incarnation(), now);
    }
  }

  /** Records that a front could not reach the member at that incarnation. */
  void suspect(MemberEntry entry, int source, long incarnation, Moment now) {
    MemberUpdate update =
        new MemberUpdate(entry.update().member(), incarnation, MemberState.SUSPECT, source);
    if (entry.suspicion() == null || entry.update().incarnation() != incarnation) {
      accept(entry, update, now, true);
    } else if (entry.suspicion().confirm(source)) {
      dissemination.add(update);
    }
  }

  /** Declares members dead whose suspicion has timed out. */
  void expireSuspicions(Moment now) {
    for (MemberEntry entry : List.copyOf(table.all())) {
      if (entry.suspicion() != null && !now.isBefore(entry.suspicion().endsAt())) {
        MemberUpdate current = entry.update();
        MemberUpdate dead =
            new MemberUpdate(
                current.member(), current.incarnation(), MemberState.DEAD, own.number());
        accept(entry, dead, now, true);
      }
    }
  }

  private void accept(MemberEntry entry, MemberUpdate update, Moment now, boolean disseminate) {
    MemberUpdate previous = entry.update();
    entry.setUpdate(update, now);
    if (update.state() == MemberState.SUSPECT) {
      entry.setSuspicion(newSuspicion(update, now));
    }
    if (disseminate) {
      dissemination.add(update);
    }
    if (previous == null
        || previous.state() != update.state()
        || previous.incarnation() != update.incarnation()) {
      port.stateChanged(update);
    }
  }

  /**
   * This front, the suspected member and the one that raised the suspicion cannot confirm it; three
   * are subtracted even where this front raised it. So a small fleet requires fewer confirmations
   * than configured.
   */
  private Suspicion newSuspicion(MemberUpdate update, Moment now) {
    long present = table.countPresent() + 1;
    double periods = settings.suspicion() * Math.max(1, Math.log10(present));
    Span minDuration = settings.period().times(periods);
    Span maxDuration = minDuration.times(settings.longest());
    int maxConfirmations = (int) Math.min(settings.confirmed(), Math.max(0, present - 3));
    boolean raisedLocally = update.source() == own.number();
    return new Suspicion(
        now, minDuration, maxDuration, maxConfirmations, update.source(), raisedLocally);
  }

  /**
   * Handles an update about this front. A false one is refuted with a higher incarnation, which
   * supersedes it (SWIM, 4.2). One that calls this front suspect or dead also raises the local
   * health score, since others could not reach this front.
   */
  private void onOwnUpdate(MemberUpdate update) {
    if (own.isNumberConflict(update)) {
      port.numberConflict(update.member().address());
    }
    if (!membership.refutes() || !own.mustRefute(update)) {
      return;
    }
    own.refute(update);
    boolean reportedUnreachable =
        update.state() == MemberState.SUSPECT || update.state() == MemberState.DEAD;
    health.degrade(reportedUnreachable ? 1 : 0);
    dissemination.add(own.update());
  }
}
