package linengauge.platform;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.BadMessage;
import linengauge.platform.codec.JournalFrames;
import linengauge.session.Backoff;
import linengauge.session.BoxTable.Row;

/**
 * Follows the journal service. A stream that breaks, skips an event, or brings no whole frame for
 * clearly longer than its sign of life is apart, is asked for again from the last event held, after
 * pauses that grow, are bounded, and drawn apart from those of other fronts: they all lose it at
 * one moment.
 */
final class DiscoveryWatch {
  private static final Span SILENCE_LIMIT = Span.ofMillis(2200);
  private static final Span MIN_BACKOFF = Span.ofMillis(50);
  private static final int WRITE_BUFFER_BYTES = 1024;

  /** Tells this source of chance from the module's, which has the same seed. */
  private static final long BACKOFF_SEED_SALT = 0x6c697374L;

  private static final Span MAX_BACKOFF = Span.ofMillis(800);

  private final PlatformFront front;
  private String address;
  private long lastEventNumber;
  private Net.Connection socket;

  /** Counts connections tried: what an earlier one still says is passed over. */
  private int currentGeneration;

  private Moment connectedAt;

  /** When the last whole frame came: what drips and never ends is no sign of life. */
  private Moment lastFrameAt;

  private final Backoff backoff;

  DiscoveryWatch(PlatformFront front, String address, long seed) {
    this.front = front;
    this.address = address;
    this.backoff =
        new Backoff(MIN_BACKOFF, MAX_BACKOFF, new SplittableRandom(seed ^ BACKOFF_SEED_SALT));
  }

  /** An event that was known at the start. */
  void applyKnown(Configuration.DiscoveryEvent event) {
    apply(event.number(), event.full(), event.rows());
  }

  /** The service has moved; the numbers go on. */
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
    log("connected to " + address + ", asks from " + lastEventNumber);
    JournalFrames frames =
        new JournalFrames(
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
                        if (MAX_BACKOFF.under(lastFrameAt.since(connectedAt))) {
                          backoff.reset();
                        }
                      }
                    } catch (BadMessage e) {
                      disconnected(generation, e.getMessage());
                    }
                  }
                }),
        () -> front.handleEvent(() -> disconnected(generation, "closed")));
    connection.write(JournalFrames.from(lastEventNumber));
  }

  private void disconnected(int generation, String reason) {
    if (generation != currentGeneration) {
      return;
    }
    front.warn("discovery broke off", address, reason);
    log("closed: " + reason);
    currentGeneration++;
    if (socket != null) {
      socket.close();
      socket = null;
    }
    front.schedule(
        backoff.next(),
        () -> {
          if (generation + 1 == currentGeneration) {
            connect();
          }
        });
  }

  private void log(String reason) {
    front.events().logFront(Kind.DISCOVERY, reason);
  }

  private void logEvent(long number, boolean full, List<Row> rows) {
    log("event " + number + (full ? ", whole list of " : ", changes: ") + rows.size());
    if (!full) {
      for (Row row : rows) {
        front.events().logServer(Kind.SERVER_STATE, row.id(), row.state().name());
      }
    }
  }

  /** To be called some times a second. */
  void checkSilence(Moment now) {
    if (socket != null && SILENCE_LIMIT.under(now.since(lastFrameAt)) && !front.isBehind()) {
      front.warn("discovery silent", address, "");
      log("closed: silent");
      connect();
    }
  }

  private void apply(long number, boolean full, List<Row> rows) {
    if (number <= lastEventNumber) {
      return; // told before
    }
    if (!full && number != lastEventNumber + 1) {
      disconnected(currentGeneration, "skipped from " + lastEventNumber + " to " + number);
      return;
    }
    lastEventNumber = number;
    logEvent(number, full, rows);
    if (full) {
      front.sessionManager().listed(number, rows);
    } else {
      front.sessionManager().listChanged(number - 1, number, rows);
    }
    front.serverLinks().discoveryUpdated();
  }
}
