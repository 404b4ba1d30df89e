package linengauge.platform;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.codec.BadMessage;
import linengauge.platform.codec.SetUpForm;
import linengauge.platform.codec.Texts;
import linengauge.platform.codec.ViewerMessages;
import linengauge.platform.keep.ReceiveQueue;
import linengauge.platform.keep.IdleConnection;

/** One connection from viewers. */
final class ClientConnection implements ViewerMessages.Heard {
    /** What one connection may read in one turn of the loop. */
    private static final Span TURN = Span.ofMillis(10);
    private static final Span NEXT_TURN = Span.ofMillis(1);

    private final ClientListener door;
    private final Net.Connection socket;
    private final ViewerMessages reader = new ViewerMessages(this);
    /** Viewings whose answer is owed here; each leaves with its answer. */
    private final Set<ClientSession> waiting = new LinkedHashSet<>();
    private IdleConnection guest;
    private boolean viewers;
    private boolean closed;
    /** Messages that have come wait for a turn of their own. */
    private boolean goesOn;
    private boolean paused;
    /** When what is read may have come, and what follows the message that has begun. */
    private Moment lain = Moment.DISTANT_PAST;
    private Moment nextLain;
    private final ReceiveQueue arrivals;
    /** Descriptions that wait here, in characters: what the front must keep of what it was sent. */
    private int keeps;

    ClientConnection(ClientListener door, Net.Connection socket, Moment cameAfter) {
        this.door = door;
        this.socket = socket;
        this.arrivals = new ReceiveQueue(cameAfter, door.front().now());
        socket.hears(data -> door.front().onEvent(() -> read(data)), () -> door.front().onEvent(this::gone));
    }

    void guest(IdleConnection given) {
        guest = given;
    }

    boolean isOpen() {
        return !closed;
    }

    /** A viewing has been answered on it, or handed over by it; whoever only tests the front hears of no viewing. */
    boolean isViewers() {
        return viewers;
    }

    private void read(byte[] data) {
        if (closed) {
            return;
        }
        Moment now = door.front().now();
        arrivals.come(data, now.minus(door.front().unread()), now);
        if (!goesOn) {
            readOn();
        } else if (arrivals.isFull(reader.unread())) {
            pause();
        }
    }

    /**
     * Reads what has come, for one turn's share of time; the rest in turns of its own. Guards against a piece of hundreds of
     * messages (viewings handed over, a rude client) that makes all others wait.
     */
    private void readOn() {
        if (closed) {
            return;
        }
        try {
            Moment until = door.front().now().plus(TURN);
            boolean ended = false;
            boolean more = true;
            while (more && !closed && door.front().now().before(until)) {
                more = reader.next();
                ended |= more;
                if (more && nextLain != null) {
                    lain = nextLain;
                    nextLain = null;
                }
                more = more || takesNext();
                door.front().tick();
            }
            guest.read(ended, !more && reader.isMidMessage(), door.front().now());
            if (more && !closed) {
                goesOn = true;
                if (arrivals.isFull(reader.unread())) {
                    pause();
                }
                // By a timer: what is merely put off runs before the loop reads from anybody else.
                door.front().after(NEXT_TURN, () -> {
                    goesOn = false;
                    readOn();
                });
            }
            resume();
        } catch (BadMessage e) {
            door.log("unreadable viewer", socket.peer(), e.getMessage());
            close();
        }
    }

    private boolean takesNext() {
        ReceiveQueue.Piece piece = arrivals.next();
        if (piece == null) {
            return false;
        }
        if (reader.isMidMessage()) {
            nextLain = piece.came(); // of what begins in it, not of the message that it ends
        } else {
            lain = piece.came();
        }
        reader.take(piece.data());
        return true;
    }

    private void pause() {
        if (!paused) {
            paused = true;
            arrivals.paused();
            socket.pause();
        }
    }

    private void resume() {
        if (paused && !arrivals.isFull(reader.unread()) && keeps <= ClientListener.MOST_KEPT) {
            paused = false;
            arrivals.resumed(door.front().now());
            socket.resume();
        }
    }

    /** How long what is being read now may have lain unread. */
    Span lain() {
        return door.front().now().since(lain);
    }

    /** Closes it; what waits on it is answered by the close. */
    void close() {
        if (!closed) {
            socket.close();
            gone();
        }
    }

    private void gone() {
        if (closed) {
            return;
        }
        closed = true;
        door.left(this, guest);
        List<ClientSession> seats = new ArrayList<>(waiting);
        if (!seats.isEmpty()) {
            door.log("connection gone with set-ups open", Texts.id(seats.get(0).id()), seats.size() + " of " + socket.peer());
        }
        waiting.clear();
        seats.forEach(door::giveUp);
    }

    void waits(ClientSession seat, int length) {
        waiting.add(seat);
        guest.asked();
        keeps += length;
        if (keeps > ClientListener.MOST_KEPT) {
            pause(); // read on once some are answered: memory is not for the sender to fill
        }
    }

    /** Its viewing plays from here on. */
    void seated(ClientSession seat) {
        seat.home(this);
    }

    void answer(ClientSession seat, byte[] message) {
        unwait(seat);
        if (seat.answerBy().before(door.front().now())) {
            door.log("answered late", Texts.id(seat.id()), door.front().now().since(seat.answerBy()).micros() / 1000 + " ms");
        }
        write(message);
        viewers();
    }

    void unwait(ClientSession seat) {
        if (waiting.remove(seat)) {
            guest.settled(door.front().now());
            keeps -= seat.length();
            resume();
        }
    }

    /** Writes, or closes where whoever is there does not read. */
    void write(byte[] message) {
        if (closed) {
            return;
        }
        if (socket.isFull()) {
            door.log("viewer does not read", socket.peer(), "");
            door.front().later(this::close);
            return;
        }
        socket.write(message);
    }

    @Override
    public void setUp(long id, SetUpForm form) {
        if (!closed) {
            door.front().tick();
            door.setUp(this, id, form);
        }
    }

    @Override
    public void ended(long id, int cause) {
        if (!closed) {
            door.endedByViewer(id);
        }
    }

    @Override
    public void test(long id) {
        write(ViewerMessages.tested(id));
        guest.proven();
    }

    @Override
    public void unfit(long id, String why) {
        door.log("unfit set-up", socket.peer(), why);
        write(ViewerMessages.unfit(id));
    }

    /** It is viewers': it has been answered, or a viewing that plays was handed over by it. */
    void viewers() {
        guest.proven();
        viewers = true;
        door.viewers(this);
    }
}
