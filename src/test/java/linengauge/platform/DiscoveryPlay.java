package linengauge.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import linengauge.Span;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;

/**
 * Several fronts on real sockets, each with a loop of its own, follow one {@link SlowJournal}.
 * After the trouble has begun, a server starts to drain; the result is how long it took until every
 * front was notified, and what the fronts cost the service meanwhile.
 */
final class DiscoveryPlay implements AutoCloseable {
  private static final long NEVER = Long.MAX_VALUE;
  private static final long EVENT_AFTER_MS = 1000;
  private static final long SETTLING_MS = 300;
  private static final long MAX_CLOSING_MS = 2000;
  private static final long START_LIMIT_MS = 15_000;
  private static final Span CONNECT_TIMEOUT = Span.ofMillis(250);

  /** How the watches that are open are affected when the trouble begins. */
  enum OpenWatches {
    BREAK_OFF,
    FALL_SILENT,
    GO_ON,
    /** There is none: the fronts start during the trouble. */
    NONE_YET
  }

  /**
   * The outcome of a play.
   *
   * @param newestEventMs from the newest event until the last front had it
   * @param unnotified the fronts that had not got the event when the play ended
   * @param watchesOpened by all fronts, from the beginning of the trouble to the end of the play
   * @param mostOpen the most watches that were open at one time
   * @param openAtEnd the watches open shortly after the play
   */
  record Result(
      long newestEventMs, long unnotified, int watchesOpened, int mostOpen, int openAtEnd) {
    @Override
    public String toString() {
      return String.format(
          "newest event after %s s, %d fronts without it, %d watches opened, %d open at most, %d at the end",
          newestEventMs == NEVER ? "-" : String.format("%.1f", newestEventMs / 1000.0),
          unnotified,
          watchesOpened,
          mostOpen,
          openAtEnd);
    }
  }

  private final class Front implements PlatformFront.Observer {
    private final VertxNet net = new VertxNet(CONNECT_TIMEOUT, error -> {});
    private final AtomicLong notifiedAtNanos = new AtomicLong(NEVER);

    private void start(int number) throws Exception {
      String text =
          TryOut.configuration(PlatformTryOut.freePort(), journal.port(), 9)
              .replace("8c1f30d27a5be964", String.format("8c1f30d27a5b%04x", number));
      Configuration configuration = Configuration.read(text.getBytes(StandardCharsets.UTF_8));
      net.runOnLoop(() -> new PlatformFront(configuration, net, this).start(failure -> {}));
    }

    @Override
    public void event(LogEvent event) {
      if (event.kind() == LogEvent.Kind.DISCOVERY
          && event.reason().startsWith("event " + newestEvent + ",")) {
        notifiedAtNanos.compareAndSet(NEVER, System.nanoTime());
      }
    }

    @Override
    public void warn(String kind, Object subject, String detail) {}

    @Override
    public void info(String message) {}

    @Override
    public void stopped(String failure, RuntimeException cause) {}
  }

  private final SlowJournal journal = new SlowJournal();
  private final List<Front> fronts = new ArrayList<>();
  private volatile long newestEvent;

  DiscoveryPlay(int frontCount) throws Exception {
    for (int i = 0; i < frontCount; i++) {
      fronts.add(new Front());
    }
  }

  private void startFronts() throws Exception {
    for (int i = 0; i < fronts.size(); i++) {
      fronts.get(i).start(i);
    }
  }

  private void awaitFollowed() throws InterruptedException {
    long until = System.nanoTime() + START_LIMIT_MS * 1_000_000;
    while (journal.answeredWatches() < fronts.size()) {
      if (System.nanoTime() > until) {
        throw new IllegalStateException("not every front follows the service");
      }
      Thread.sleep(20);
    }
    Thread.sleep(SETTLING_MS);
  }

  /**
   * Plays the trouble for that long, or until every front has got the newest event if the watches
   * that were open are affected.
   */
  Result play(SlowJournal.Trouble trouble, OpenWatches openWatches, int listedServers, long limitMs)
      throws Exception {
    newestEvent = listedServers > 0 ? 3 : 2;
    if (openWatches != OpenWatches.NONE_YET) {
      startFronts();
      awaitFollowed();
    }
    journal.beginTrouble(trouble);
    if (openWatches == OpenWatches.NONE_YET) {
      startFronts();
    } else if (listedServers > 0) {
      journal.breakOff();
      journal.publish(SlowJournal.listOf(listedServers));
    } else if (openWatches == OpenWatches.BREAK_OFF) {
      journal.breakOff();
    } else if (openWatches == OpenWatches.FALL_SILENT) {
      journal.fallSilent();
    }
    Thread.sleep(EVENT_AFTER_MS);
    long publishedAt = System.nanoTime();
    journal.publish(PlatformJournal.record(1, 9, 1, 0, 0));
    long until = publishedAt + limitMs * 1_000_000;
    while (System.nanoTime() < until && (unnotified() > 0 || openWatches == OpenWatches.GO_ON)) {
      Thread.sleep(20);
    }
    long unnotified = unnotified();
    int opened = journal.opened();
    int mostOpen = journal.mostOpen();
    long settledBy = System.nanoTime() + MAX_CLOSING_MS * 1_000_000;
    while (System.nanoTime() < settledBy && journal.openNow() > fronts.size()) {
      Thread.sleep(20);
    }
    return new Result(
        unnotified > 0 ? NEVER : (lastNotifiedAt() - publishedAt) / 1_000_000,
        unnotified,
        opened,
        mostOpen,
        journal.openNow());
  }

  private long unnotified() {
    return fronts.stream().filter(front -> front.notifiedAtNanos.get() == NEVER).count();
  }

  private long lastNotifiedAt() {
    return fronts.stream().mapToLong(front -> front.notifiedAtNanos.get()).max().orElse(NEVER);
  }

  @Override
  public void close() throws IOException {
    fronts.forEach(front -> front.net.close());
    journal.close();
  }
}
