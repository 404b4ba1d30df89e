package linengauge.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.connection.SilenceLimit;
import linengauge.platform.connection.WatchHealth;
import linengauge.platform.connection.WatchPace;
import linengauge.session.Backoff;
import linengauge.session.BoxTable.ListedBox;
import linengauge.session.Transport.Timer;

/**
 * Follows the journal service, which publishes the discovery events. If a watch breaks or skips an
 * event, the service is asked again from the last event known; the pauses between these requests
 * grow up to a bound and are randomized, since all fronts lose their watches at the same moment.
 *
 * <p>If a watch brings nothing for clearly longer than the interval of the heartbeats, the service
 * is asked on another one beside it. The first one is kept: a slow or crowded service may be about
 * to answer it, and would have to begin again with the new one. Whichever is answered first
 * replaces the others. The number of watches is bounded.
 */
final class DiscoveryWatch implements JournalWatch.Listener {
  /** The most watches on connections that are up. */
  private static final int MAX_WATCHES = 3;

  /** The most connections that are being opened. */
  private static final int MAX_DIALS = 3;

  /** The interval of further connections while two or more are being opened. */
  private static final Span DIAL_INTERVAL = Span.ofMillis(1300);

  private static final Span MIN_BACKOFF = Span.ofMillis(50);
  private static final Span MAX_BACKOFF = Span.ofMillis(800);

  /** Separates this random sequence from the module's, which has the same seed. */
  private static final long BACKOFF_SEED_SALT = 0x6c697374L;

  private final PlatformFront front;
  private String address;
  private long lastEventNumber;

  /** The watches that have not ended, in the order in which they were opened. */
  private final List<JournalWatch> watches = new ArrayList<>(MAX_WATCHES + MAX_DIALS);

  /** Pauses after a watch that has failed. */
  private final Backoff backoff;

  private final SilenceLimit silenceLimit = new SilenceLimit();

  /** Pauses between watches opened beside others. */
  private final WatchPace pace;

  /** Opens a watch after a pause; null if none is planned. */
  private Timer reconnectTimer;

  DiscoveryWatch(PlatformFront front, String address, long seed) {
    this.front = front;
    this.address = address;
    SplittableRandom random = new SplittableRandom(seed ^ BACKOFF_SEED_SALT);
    this.backoff = new Backoff(MIN_BACKOFF, MAX_BACKOFF, random);
    this.pace = new WatchPace(random.split());
  }

  /** Applies an event that was known at the start. */
  void applyKnown(Configuration.DiscoveryEvent event) {
    apply(event.number(), event.full(), event.rows());
  }

  /** The service has moved to another address; the event numbers continue. */
  void changeAddress(String newAddress) {
    if (!newAddress.equals(address)) {
      log("moved from " + address + " to " + newAddress);
      address = newAddress;
      watches.forEach(JournalWatch::close);
      watches.clear();
      cancelReconnect();
      backoff.reset();
      pace.reset();
      silenceLimit.reset();
      connect();
    }
  }

  /** Opens a watch. */
  void connect() {
    JournalWatch watch = new JournalWatch(front, address, silenceLimit, this);
    watches.add(watch);
    watch.open();
  }

  /** Of connections that come up at the same time, one is used. */
  @Override
  public boolean mayAsk(JournalWatch watch) {
    boolean isNeeded =
        watches.stream()
                .noneMatch(other -> other.health().isUp() && !other.health().isOverdue(front.now()))
            && makeRoom();
    if (!isNeeded) {
      drop(watch, "not needed");
    }
    return isNeeded;
  }

  @Override
  public long lastEventNumber() {
    return lastEventNumber;
  }

  @Override
  public void onEvent(JournalWatch watch, long number, boolean full, List<ListedBox> rows) {
    if (!full && number > lastEventNumber + 1) {
      watch.fail("skipped from " + lastEventNumber + " to " + number);
    } else {
      apply(number, full, rows);
    }
  }

  /**
   * The service answers on this watch. The others are not needed any more, except one that is
   * bringing a newer event, which is not begun again from the start, and for a moment one that fell
   * silent just before.
   */
  @Override
  public void onFrames(JournalWatch watch) {
    if (MAX_BACKOFF.isShorterThan(watch.health().heardFor())) {
      backoff.reset();
    }
    pace.reset();
    dropOthers(watch, front.now());
  }

  private void dropOthers(JournalWatch heard, Moment now) {
    for (JournalWatch other : List.copyOf(watches)) {
      boolean isKept =
          other == heard
              || other.isReceivingEventAfter(lastEventNumber, now)
              || other.health().isOverdue(now) && other.health().mayGoOn(now);
      if (!isKept) {
        drop(other, "replaced");
      }
    }
  }

  @Override
  public void onFailed(JournalWatch watch, String reason) {
    front.warn("discovery disconnected", address, reason);
    log("closed: " + reason);
    watches.remove(watch);
    WatchHealth health = watch.health();
    boolean isTurnedAway = health.isUnanswered() && longestWaiting() != null;
    boolean hasTimedOut = !health.isUp() && health.isOverdue(front.now());
    if (reconnectTimer == null && !isTurnedAway && !hasTimedOut && isEachOverdue(front.now())) {
      scheduleReconnect();
    }
  }

  private void scheduleReconnect() {
    reconnectTimer =
        front.schedule(
            backoff.nextDelay(),
            () -> {
              reconnectTimer = null;
              if (isEachOverdue(front.now()) && dialCount() < MAX_DIALS) {
                connect();
              }
            });
  }

  private void cancelReconnect() {
    if (reconnectTimer != null) {
      reconnectTimer.cancel();
      reconnectTimer = null;
    }
  }

  /**
   * Opens another watch if the service has been silent for too long on each; to be called several
   * times a second.
   */
  void checkSilence(Moment now) {
    if (front.isBehind()) {
      return;
    }
    for (JournalWatch watch : List.copyOf(watches)) {
      if (watch.health().isExpired(now)) {
        drop(watch, "silent");
      }
    }
    watches.stream()
        .filter(watch -> watch.health().isHeard() && !watch.health().isOverdue(now))
        .findFirst()
        .ifPresent(heard -> dropOthers(heard, now));
    if (reconnectTimer == null && isEachOverdue(now)) {
      openBeside(now);
    }
  }

  private void openBeside(Moment now) {
    long dials = dialCount();
    boolean isDue = dials == 0 ? watches.isEmpty() || pace.mayOpen(now) : isDialDue(dials, now);
    if (!isDue) {
      return;
    }
    front.warn("discovery silent", address, "");
    log("silent, opening another connection");
    if (dials == 0 && !watches.isEmpty()) {
      pace.onOpenedBeside(now);
    }
    connect();
  }

  private boolean isDialDue(long dials, Moment now) {
    JournalWatch newest = watches.get(watches.size() - 1);
    return dials == 1
        || dials < MAX_DIALS && !newest.health().age(now).isShorterThan(DIAL_INTERVAL);
  }

  private long dialCount() {
    return watches.stream().filter(watch -> !watch.health().isUp()).count();
  }

  private boolean isEachOverdue(Moment now) {
    return watches.stream().allMatch(watch -> watch.health().isOverdue(now));
  }

  /**
   * Drops a watch if as many are up as allowed; returns whether there is room for another one. The
   * one that has waited longest for an answer is kept, since a crowded service answers it first,
   * and so is one that is bringing a newer event.
   */
  private boolean makeRoom() {
    if (watches.size() - dialCount() < MAX_WATCHES) {
      return true;
    }
    JournalWatch kept = longestWaiting();
    for (JournalWatch watch : watches) {
      if (watch != kept
          && watch.health().isUp()
          && !watch.isReceivingEventAfter(lastEventNumber, front.now())) {
        drop(watch, "replaced");
        return true;
      }
    }
    return false;
  }

  private JournalWatch longestWaiting() {
    return watches.stream().filter(watch -> watch.health().isUnanswered()).findFirst().orElse(null);
  }

  private void drop(JournalWatch watch, String reason) {
    log("closed: " + reason);
    watches.remove(watch);
    watch.close();
  }

  private void log(String reason) {
    front.events().logFront(Kind.DISCOVERY, reason);
  }

  private void logEvent(long number, boolean full, List<ListedBox> rows) {
    log("event " + number + (full ? ", full list of " : ", changes: ") + rows.size());
    if (!full) {
      for (ListedBox row : rows) {
        String start =
            row.startedAt().equals(Moment.DISTANT_PAST)
                ? ""
                : ", started at " + row.startedAt().micros() / 1000;
        front.events().logServer(Kind.SERVER_STATE, row.id(), row.state().name() + start);
      }
    }
  }

  private void apply(long number, boolean full, List<ListedBox> rows) {
    if (number <= lastEventNumber) {
      return; // already applied
    }
    lastEventNumber = number;
    logEvent(number, full, rows);
    if (full) {
      front.sessionManager().applyDiscovery(number, rows);
    } else {
      front.sessionManager().applyDiscoveryChanges(number - 1, number, rows);
    }
    front.serverLinks().discoveryUpdated(full, rows);
  }
}
