package linengauge.platform;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.session.Backoff;
import linengauge.session.BoxTable.ListedBox;

/**
 * Follows the journal service, which publishes the discovery events. If the stream breaks, skips an
 * event, or brings no complete frame for clearly longer than the interval of its keep-alive frames,
 * it is requested again from the last event known. The pauses between these requests grow up to a
 * bound and are randomized, since all fronts lose the stream at the same moment.
 */
final class DiscoveryWatch {
  private static final Span SILENCE_LIMIT = Span.ofMillis(2200);
  private static final Span MIN_BACKOFF = Span.ofMillis(50);
  private static final int WRITE_BUFFER_BYTES = 1024;

  /** Separates this random sequence from the module's, which has the same seed. */
  private static final long BACKOFF_SEED_SALT = 0x6c697374L;

  private static final Span MAX_BACKOFF = Span.ofMillis(800);

  private final PlatformFront front;
  private String address;
  private long lastEventNumber;
  private Net.Connection socket;

  /** Counts connections dialled: events of an earlier one are ignored. */
  private int currentGeneration;

  private Moment connectedAt;

  /** When the last complete frame arrived; an incomplete one is no sign of life. */
  private Moment lastFrameAt;

  private final Backoff backoff;

  DiscoveryWatch(PlatformFront front, String address, long seed) {
    this.front = front;
    this.address = address;
    this.backoff =
        new Backoff(MIN_BACKOFF, MAX_BACKOFF, new SplittableRandom(seed ^ BACKOFF_SEED_SALT));
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
      backoff.reset();
      connect();
    }
  }

  void connect() {
    int generation = ++currentGeneration;
    if (socket != null) {
      socket.close();
      socket = null;
    }
    lastFrameAt = front.now();
    front.connect(
        address,
        WRITE_BUFFER_BYTES,
        new Net.ConnectHandler() {
          @Override
          public void connected(Net.Connection connection) {
            if (generation == currentGeneration) {
              subscribe(connection, generation);
            } else {
              connection.close();
            }
          }

          @Override
          public void failed(boolean refused, String reason) {
            disconnected(generation, "not reached: " + reason);
          }
        });
  }

  private void subscribe(Net.Connection connection, int generation) {
    socket = connection;
    connectedAt = front.now();
    lastFrameAt = connectedAt;
    log("connected to " + address + ", resuming after event " + lastEventNumber);
    JournalFrameCodec frames =
        new JournalFrameCodec(
            (number, full, rows) -> {
              if (generation == currentGeneration) {
                apply(number, full, rows);
              }
            });
    connection.setHandlers(
        data ->
            front.handleEvent(
                () -> {
                  if (generation == currentGeneration) {
                    try {
                      if (frames.feed(data) > 0) {
                        lastFrameAt = front.now();
                        if (MAX_BACKOFF.isShorterThan(lastFrameAt.since(connectedAt))) {
                          backoff.reset();
                        }
                      }
                    } catch (MalformedMessageException e) {
                      disconnected(generation, e.getMessage());
                    }
                  }
                }),
        () -> front.handleEvent(() -> disconnected(generation, "closed")));
    connection.write(JournalFrameCodec.encodeResumePosition(lastEventNumber));
  }

  private void disconnected(int generation, String reason) {
    if (generation != currentGeneration) {
      return;
    }
    front.warn("discovery disconnected", address, reason);
    log("closed: " + reason);
    currentGeneration++;
    if (socket != null) {
      socket.close();
      socket = null;
    }
    front.schedule(
        backoff.nextDelay(),
        () -> {
          if (generation + 1 == currentGeneration) {
            connect();
          }
        });
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

  /**
   * Reconnects if the service has been silent for too long; to be called several times a second.
   */
  void checkSilence(Moment now) {
    if (socket != null
        && SILENCE_LIMIT.isShorterThan(now.since(lastFrameAt))
        && !front.isBehind()) {
      front.warn("discovery silent", address, "");
      log("closed: silent");
      connect();
    }
  }

  private void apply(long number, boolean full, List<ListedBox> rows) {
    if (number <= lastEventNumber) {
      return; // already applied
    }
    if (!full && number != lastEventNumber + 1) {
      disconnected(currentGeneration, "skipped from " + lastEventNumber + " to " + number);
      return;
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
