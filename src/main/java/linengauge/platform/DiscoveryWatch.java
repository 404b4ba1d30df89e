package linengauge.platform;

import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.codec.BadMessage;
import linengauge.platform.codec.JournalFrames;
import linengauge.session.BoxTable.Row;

/**
 * Follows the journal service. A stream that breaks, or says nothing for clearly longer than its sign of life is apart, is
 * asked for again at once and then with short, bounded pauses, from the last event held.
 */
final class DiscoveryWatch {
    private static final Span SILENCE = Span.ofMillis(2200);
    private static final Span FIRST_PAUSE = Span.ofMillis(50);
    private static final int MOST_UNREAD = 1024;
    private static final Span LONGEST_PAUSE = Span.ofMillis(800);

    private final PlatformFront front;
    private String address;
    private long last;
    private Net.Connection socket;
    /** Counts connections tried: what an earlier one still says is passed over. */
    private int turn;
    private Moment heardAt;
    private Span pause = Span.NONE;

    DiscoveryWatch(PlatformFront front, String address) {
        this.front = front;
        this.address = address;
    }

    /** An event that was known at the start. */
    void known(Configuration.Piece piece) {
        event(piece.number(), piece.whole(), piece.rows());
    }

    /** The service has moved; the numbers go on. */
    void moved(String to) {
        if (!to.equals(address)) {
            address = to;
            pause = Span.NONE;
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
        front.connect(address, MOST_UNREAD, new Net.Tried() {
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
        heardAt = front.now();
        JournalFrames frames = new JournalFrames((number, whole, rows) -> {
            if (mine == turn) {
                event(number, whole, rows);
            }
        });
        s.hears(data -> front.onEvent(() -> {
            if (mine == turn) {
                heardAt = front.now();
                pause = Span.NONE;
                try {
                    frames.feed(data);
                } catch (BadMessage e) {
                    broke(mine, e.getMessage());
                }
            }
        }), () -> front.onEvent(() -> broke(mine, "closed")));
        s.write(JournalFrames.from(last));
    }

    private void broke(int mine, String why) {
        if (mine != turn) {
            return;
        }
        front.log("journal service broke off", address, why);
        if (pause.equals(Span.NONE)) {
            pause = FIRST_PAUSE;
            connect();
        } else {
            turn++;
            front.after(pause, () -> {
                if (mine + 1 == turn) {
                    connect();
                }
            });
            pause = pause.times(2).orLess(LONGEST_PAUSE);
        }
    }

    /** To be called some times a second. */
    void look(Moment now) {
        if (socket != null && SILENCE.under(now.since(heardAt))) {
            front.log("journal service silent", address, "");
            connect();
        }
    }

    private void event(long number, boolean whole, List<Row> rows) {
        if (number <= last) {
            return; // told before
        }
        if (!whole && number != last + 1) {
            front.log("journal service skipped", address, last + " to " + number);
            connect();
            return;
        }
        last = number;
        if (whole) {
            front.desk().listed(number, rows);
        } else {
            front.desk().listChanged(number - 1, number, rows);
        }
        front.boxes().listed();
    }
}
