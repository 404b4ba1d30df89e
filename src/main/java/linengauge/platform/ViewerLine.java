package linengauge.platform;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import linengauge.platform.codec.BadMessage;
import linengauge.platform.codec.SetUpForm;
import linengauge.platform.codec.ViewerMessages;
import linengauge.platform.keep.Guest;

/** One connection from viewers. */
final class ViewerLine implements ViewerMessages.Heard {
    private final Door door;
    private final Net.Connection socket;
    private final ViewerMessages reader = new ViewerMessages(this);
    /** Viewings whose answer is owed here; each leaves with its answer. */
    private final Set<Seat> waiting = new LinkedHashSet<>();
    private Guest guest;
    private boolean viewers;
    private boolean closed;
    /** Descriptions that wait here, in characters: what the front must keep of what it was sent. */
    private int keeps;

    ViewerLine(Door door, Net.Connection socket) {
        this.door = door;
        this.socket = socket;
        socket.hears(data -> door.front().entered(() -> read(data)), () -> door.front().entered(this::gone));
    }

    void guest(Guest given) {
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
        try {
            boolean ended = reader.feed(data) > 0;
            guest.read(ended, reader.isMidMessage(), door.front().now());
        } catch (BadMessage e) {
            door.said("unreadable viewer", socket.peer(), e.getMessage());
            close();
        }
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
        List<Seat> seats = new ArrayList<>(waiting);
        waiting.clear();
        seats.forEach(door::giveUp);
    }

    void waits(Seat seat, int length) {
        waiting.add(seat);
        guest.asked();
        keeps += length;
        if (keeps > Door.MOST_KEPT) {
            socket.pause(); // read on once some are answered: memory is not for the sender to fill
        }
    }

    /** Its viewing plays from here on. */
    void seated(Seat seat) {
        seat.home(this);
    }

    void answer(Seat seat, byte[] message) {
        unwait(seat);
        write(message);
        viewers();
    }

    void unwait(Seat seat) {
        if (waiting.remove(seat)) {
            guest.settled(door.front().now());
            boolean held = keeps > Door.MOST_KEPT;
            keeps -= seat.length();
            if (held && keeps <= Door.MOST_KEPT) {
                socket.resume();
            }
        }
    }

    /** Writes, or closes where whoever is there does not read. */
    void write(byte[] message) {
        if (closed) {
            return;
        }
        if (socket.isFull()) {
            door.said("viewer does not read", socket.peer(), "");
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
        door.said("unfit set-up", socket.peer(), why);
        write(ViewerMessages.unfit(id));
    }

    /** It is viewers': it has been answered, or a viewing that plays was handed over by it. */
    void viewers() {
        guest.proven();
        viewers = true;
        door.viewers(this);
    }
}
