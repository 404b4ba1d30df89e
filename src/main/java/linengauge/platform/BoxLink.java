package linengauge.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Moment;
import linengauge.Outside.Ending;
import linengauge.Span;
import linengauge.platform.codec.BoxLines;
import linengauge.platform.keep.EarlyEnds;
import linengauge.platform.keep.Reach;
import linengauge.session.BoxTable;
import linengauge.session.Held;
import linengauge.session.Viewer;

/** One media box: its connections, and the viewings that stand there. */
final class BoxLink {
    private static final int MOST_WIRES = 4;
    private static final int MOST_SAYINGS = 512;
    /** A front that stood still so long has not waited for an answer. */
    private static final Span OWN_DELAY = Span.ofMillis(150);
    private static final int MOST_EARLY_ENDS = 256;
    /** As long as the platform gives a front to release what has ended. */
    private static final Span EARLY_END_KEPT = Span.ofSeconds(8);
    /**
     * Boxes are silent by nature where nothing is set up and nothing is short, and each new connection is priced over the
     * whole fleet: only so late is silence looked into that what played at a box that has vanished is still released within
     * the 8 s that the platform gives, with a second for a front that is itself late.
     */
    static final Reach.Terms REACH = new Reach.Terms(Span.ofMillis(5000), Span.ofMillis(500), Span.ofMillis(3500),
            Span.ofMillis(7000), Span.ofMillis(1000), Span.ofMillis(50), Span.ofMillis(800));
    /** Connections beyond the first are closed when they have rested so long. */
    private static final Span SPARE_RESTS = Span.ofSeconds(4);

    private final BoxLinks links;
    private final BoxTable.Entry box;
    private final Reach reach;
    private final List<Wire> wires = new ArrayList<>();
    /** Viewings that play at the box; each leaves with its end. */
    private final Map<Long, Seat> standing = new LinkedHashMap<>();
    private final EarlyEnds earlyEnds = new EarlyEnds(MOST_EARLY_ENDS, EARLY_END_KEPT);
    /** What is to be said of them once a connection is there; bounded, the oldest goes. */
    private final ArrayDeque<byte[]> sayings = new ArrayDeque<>();

    BoxLink(BoxLinks links, BoxTable.Entry box) {
        this.links = links;
        this.box = box;
        this.reach = new Reach(REACH, links.front().now());
    }

    BoxTable.Entry box() {
        return box;
    }

    BoxLinks links() {
        return links;
    }

    private PlatformFront front() {
        return links.front();
    }

    /* ---- what the core wants ---- */

    void setUp(Held vw, int tuneIn) {
        Wire w = wire();
        if (w == null) {
            front().later(() -> vw.failed(tuneIn, Ending.NEVER_SENT));
        } else {
            w.setUp(vw, tuneIn);
        }
    }

    void probe() {
        Wire w = wire();
        if (w == null) {
            front().later(() -> front().desk().probed(box, false));
        } else {
            w.test(links.testId());
        }
    }

    void rung(Seat seat, int rung) {
        say(BoxLines.rung(seat.id(), rung));
    }

    void withdraw(Held vw, int tuneIn) {
        Seat seat = (Seat) vw.viewer();
        for (Wire w : List.copyOf(wires)) {
            if (w.withdraw(vw, tuneIn)) {
                return;
            }
        }
        over(seat.id());
        if (!reach.lost(front().now())) {
            say(BoxLines.end(seat.id()));
        }
    }

    void stands(Seat seat) {
        standing.put(seat.id(), seat);
        Ending how = earlyEnds.take(seat.id());
        if (how != null) {
            front().later(() -> ended(seat.id(), how));
            return;
        }
        if (wires.isEmpty()) {
            open();
        }
    }

    private void say(byte[] line) {
        Wire best = null;
        for (Wire w : wires) {
            if (w.isUp() && !w.isRetired() && (best == null || best.line().heardAt().before(w.line().heardAt()))) {
                best = w;
            }
        }
        if (best != null) {
            best.write(line);
            return;
        }
        if (box.state() == BoxTable.State.GONE) {
            return; // nobody is there to hear it
        }
        if (sayings.size() == MOST_SAYINGS) {
            sayings.poll();
        }
        sayings.add(line);
        if (wires.isEmpty()) {
            open();
        }
    }

    /** The connection with the fewest set-ups and tests out that takes more, or null. */
    private Wire leastLoaded() {
        Wire least = null;
        for (Wire w : wires) {
            least = w.isRetired() || least != null && w.load() >= least.load() ? least : w;
        }
        return least;
    }

    /** A connection for one more set-up or test: one with none open, else a new one, else the one with the fewest. */
    private Wire wire() {
        Wire least = leastLoaded();
        long usable = wires.stream().filter(w -> !w.isRetired()).count();
        if (least != null && (least.load() == 0 || usable >= MOST_WIRES)) {
            return least;
        }
        Wire fresh = open();
        return fresh == null ? least : fresh;
    }

    private Wire open() {
        String address = box.address();
        if (address == null || Posting.port(address) < 0 || box.state() == BoxTable.State.GONE
                || !links.place() && !(links.makePlace() && links.place())) {
            return null;
        }
        Wire w = new Wire(this, address, reach.closings());
        wires.add(w);
        w.connect();
        return w;
    }

    /* ---- what its connections tell ---- */

    void up(Wire w) {
        reach.up(w.closingsWhenBegun(), front().now());
        for (byte[] line = sayings.poll(); line != null; line = sayings.poll()) {
            w.write(line);
        }
    }

    void heard() {
        reach.sign(front().now());
    }

    /**
     * A connection has closed, or did not come up. One that this front closed since it rested leaves nothing unsaid: nothing
     * that plays was set up on it, and what has no connection of its own keeps all open ({@link #look}).
     */
    void closed(Wire w, boolean wasUp, boolean refused, boolean rested) {
        wires.remove(w);
        links.placeFree();
        for (Seat seat : standing.values()) {
            if (seat.wire() == w) {
                seat.wire(null);
            }
        }
        if (wasUp) {
            if (!rested) {
                reach.closed();
            }
            return;
        }
        reach.failed(front().now());
        if (refused && wires.stream().noneMatch(Wire::isUp)) {
            // Nothing listens there: its process has died, and what it played with it. Where another connection is up it lives,
            // and has no place for more; had it died, that one would close now, and the next one tried be refused.
            lost("refused");
        }
    }

    private void lost(String why) {
        if (!standing.isEmpty()) {
            front().said("box lost", box, why + ", " + standing.size() + " viewings");
            for (Seat seat : List.copyOf(standing.values())) {
                over(seat.id());
                seat.held().boxLost();
            }
            front().desk().lostSight(box);
        }
    }

    /* ---- what the box says ---- */

    void plays(Seat seat, Wire by) {
        standing.put(seat.id(), seat);
        seat.wire(by);
        by.line().stands(1);
    }

    /** It no longer plays here, for whatever reason; null where nothing of that id does. */
    private Seat over(long id) {
        Seat seat = standing.remove(id);
        if (seat != null && seat.wire() != null) {
            seat.wire().line().stands(-1);
            seat.wire(null);
        }
        return seat;
    }

    void ended(long id, Ending how) {
        Seat seat = over(id);
        if (seat == null) {
            earlyEnds.heard(id, how, front().now());
        } else {
            seat.held().boxEnded(how, switch (how) {
                case FINISHED -> Viewer.End.OVER;
                case WITHDRAWN -> Viewer.End.LEFT;
                default -> Viewer.End.BOX_LOST;
            });
        }
    }

    Ending unanswered(Held vw, int tuneIn) {
        for (Wire w : wires) {
            Moment writtenAt = w.writtenAt(vw, tuneIn);
            if (writtenAt != null) {
                return silence(writtenAt, null);
            }
        }
        return Ending.NO_ANSWER;
    }

    /**
     * What it means that nothing came of something written then. Guards against taking every time-out for a box that has
     * started anew, which holds it to a cold box's pace for long. A connection that was up then, is up still and has brought
     * something since shows that its process lives on; and a front that stood still has proved nothing. It could hurt where a
     * machine's connections outlive its processes: the platform resets them.
     */
    Ending silence(Moment writtenAt, Wire but) {
        if (front().heldUp(OWN_DELAY, writtenAt)) {
            return Ending.HELD_UP;
        }
        for (Wire w : wires) {
            if (w != but && w.isUp() && w.upAt().before(writtenAt) && writtenAt.before(w.line().heardAt())) {
                return Ending.UNHEARD;
            }
        }
        return Ending.NO_ANSWER;
    }

    /** The viewing of that id that plays here, or null. */
    Held playing(long id) {
        Seat seat = standing.get(id);
        return seat == null ? null : seat.held();
    }

    /** Of its connections that take nothing new and the given one, the one with the fewest viewings. */
    Wire leastRetired(Wire least) {
        for (Wire w : wires) {
            if (w.isRetired() && w.load() == 0 && (least == null || w.line().standing() < least.line().standing())) {
                least = w;
            }
        }
        return least;
    }

    void reported(BoxLines.Load load) {
        if (load != null) {
            front().desk().reported(box, load.linkAsked(), load.uplinkAsked(), load.streams());
        }
    }

    /* ---- time ---- */

    /** True once nothing is left of it. */
    boolean look(Moment now) {
        if (box.state() == BoxTable.State.GONE) {
            lost("gone from the list");
            sayings.clear();
            List.copyOf(wires).forEach(w -> w.close("its box has gone"));
            return wires.isEmpty();
        }
        earlyEnds.look(now);
        int usable = 0;
        boolean coming = false;
        // The end of a viewing without a connection of its own may come on any that is open.
        boolean spareRests = standing.values().stream().allMatch(seat -> seat.wire() != null);
        for (Wire w : List.copyOf(wires)) {
            w.look(now, usable == 0 ? front().briefing().restingClosed().times(0.8) : spareRests ? SPARE_RESTS : Span.NONE);
            usable += w.isRetired() ? 0 : 1;
            coming |= !w.isUp();
        }
        if (!standing.isEmpty() && !coming) {
            if (usable > 0 && reach.wantsTest(now)) {
                leastLoaded().ask(links.testId());
            }
            if (reach.wantsConnection(usable, now)) {
                open();
            }
            if (reach.lost(now)) {
                lost("out of reach");
            }
        }
        return false;
    }
}
