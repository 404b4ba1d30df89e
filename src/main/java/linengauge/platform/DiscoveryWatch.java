package linengauge.platform;

import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.JournalFrameCodec;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.session.Backoff;
import linengauge.session.BoxTable.Row;

/**
 * Follows the journal service. A stream that breaks, skips an event, or brings no whole frame for
 * clearly longer than its sign of life is apart, is asked for again from the last event held, after
 * pauses that grow, are bounded, and drawn apart from those of other fronts: they all lose it at
 * one moment.
 */
final class DiscoveryWatch {
  private static final Span SILENCE = Span.ofMillis(2200);
  private static final Span FIRST_PAUSE = Span.ofMillis(50);
  private static final int MOST_UNREAD = 1024;

  /** Tells this source of chance from the module's, which has the same seed. */
  private static final long SALT = 0x6c697374L;

  private static final Span LONGEST_PAUSE = Span.ofMillis(800);

  private final PlatformFront front;
  private String address;
  private long last;
  private Net.Connection socket;

  /** Counts connections tried: what an earlier one still says is passed over. */
  private int turn;

  private Moment connectedAt;

  /** When the last whole frame came: what drips and never ends is no sign of life. */
  private Moment heardAt;

  private final Backoff pauses;

  DiscoveryWatch(PlatformFront front, String address, long seed) {
    this.front = front;
    this.address = address;
    this.pauses = new Backoff(FIRST_PAUSE, LONGEST_PAUSE, new SplittableRandom(seed ^ SALT));
  }

  /** An event that was known at the start. */
  void known(Configuration.Piece piece) {
    event(piece.number(), piece.whole(), piece.rows());
  }

  /** The service has moved; the numbers go on. */
  void moved(String to) {
    if (!to.equals(address)) {
      log("moved from " + address + " to " + to);
      address = to;
      pauses.reset();
      connect();
    }
  }

  void connect() {
    int mine = ++turn;
    if (socket != null) {
      socket.close();
      socket = null;
    }
    heardAt = front.now();
    front.connect(
        address,
        MOST_UNREAD,
        new Net.Tried() {
          @Override
          public void up(Net.Connection connection) {
            if (mine == turn) {
              follow(connection, mine);
            } else {
              connection.close();
            }
          }

          @Override
          public void failed(boolean refused, String why) {
            broke(mine, "not reached: " + why);
          }
        });
  }

  private void follow(Net.Connection s, int mine) {
    socket = s;
    connectedAt = front.now();
    heardAt = connectedAt;
    log("connected to " + address + ", asks from " + last);
    JournalFrameCodec frames =
        new JournalFrameCodec(
            (number, whole, rows) -> {
              if (mine == turn) {
                event(number, whole, rows);
              }
            });
    s.hears(
        data ->
            front.onEvent(
                () -> {
                  if (mine == turn) {
                    try {
                      if (frames.feed(data) > 0) {
                        heardAt = front.now();
                        if (LONGEST_PAUSE.under(heardAt.since(connectedAt))) {
                          pauses.reset();
                        }
                      }
                    } catch (MalformedMessageException e) {
                      broke(mine, e.getMessage());
                    }
                  }
                }),
        () -> front.onEvent(() -> broke(mine, "closed")));
    s.write(JournalFrameCodec.encodeResumePosition(last));
  }

  private void broke(int mine, String why) {
    if (mine != turn) {
      return;
    }
    front.log("discovery broke off", address, why);
    log("closed: " + why);
    turn++;
    if (socket != null) {
      socket.close();
      socket = null;
    }
    front.after(
        pauses.next(),
        () -> {
          if (mine + 1 == turn) {
            connect();
          }
        });
  }

  private void log(String reason) {
    front.events().ofFront(Kind.DISCOVERY, reason);
  }

  private void logEvent(long number, boolean whole, List<Row> rows) {
    log("event " + number + (whole ? ", whole list of " : ", changes: ") + rows.size());
    if (!whole) {
      for (Row row : rows) {
        front.events().ofServer(Kind.SERVER_STATE, row.id(), row.state().name());
      }
    }
  }

  /** To be called some times a second. */
  void look(Moment now) {
    if (socket != null && SILENCE.under(now.since(heardAt)) && !front.isBehind()) {
      front.log("discovery silent", address, "");
      log("closed: silent");
      connect();
    }
  }

  private void event(long number, boolean whole, List<Row> rows) {
    if (number <= last) {
      return; // told before
    }
    if (!whole && number != last + 1) {
      broke(turn, "skipped from " + last + " to " + number);
      return;
    }
    last = number;
    logEvent(number, whole, rows);
    if (whole) {
      front.desk().listed(number, rows);
    } else {
      front.desk().listChanged(number - 1, number, rows);
    }
    front.boxes().listed();
  }
}
