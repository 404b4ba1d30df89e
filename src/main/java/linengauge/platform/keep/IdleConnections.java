package linengauge.platform.keep;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import linengauge.Moment;
import linengauge.Span;

/**
 * The viewers' connections of a front and who of them must go. Guards against connections that say nothing, never end what
 * they say, or come by hundreds: each ends within a bound, and places stay for those who ask. It could hurt a viewer who
 * opens a connection long before it asks: it is let go and asks on a new one.
 */
public final class IdleConnections {
    /** Connections at the most, and how long one may be without having asked anything that was answered. */
    public record Terms(int places, Span sign) {
    }

    private final Terms terms;
    /** Bounded by the places; each leaves when its connection closes. */
    private final Set<IdleConnection> guests = new LinkedHashSet<>();

    public IdleConnections(Terms terms) {
        this.terms = terms;
    }

    public int size() {
        return guests.size();
    }

    /**
     * A connection came; null where it must be closed at once. Where places are short the one goes that has rested longest,
     * those that have never been answered first; where every one has a set-up open the newest goes.
     */
    public IdleConnection arrived(Runnable close, Moment now) {
        if (guests.size() >= terms.places()) {
            IdleConnection least = null;
            for (IdleConnection g : guests) {
                if (g.rests() && (least == null || least.isProven() && !g.isProven()
                        || least.isProven() == g.isProven() && g.restsSince().before(least.restsSince()))) {
                    least = g;
                }
            }
            if (least == null) {
                return null;
            }
            guests.remove(least);
            least.close().run();
        }
        IdleConnection g = new IdleConnection(close, now);
        guests.add(g);
        return g;
    }

    public void left(IdleConnection g) {
        guests.remove(g);
    }

    /**
     * To be called some times a second: closes those whose time is over at two looks in a row. Guards against a loop that was
     * held up: a set-up that came meanwhile is read between the two, and is not lost with its connection.
     */
    public void look(Moment now) {
        List<IdleConnection> over = new ArrayList<>();
        for (IdleConnection g : guests) {
            if (g.overdueAgain(terms, now)) {
                over.add(g);
            }
        }
        guests.removeAll(over);
        over.forEach(g -> g.close().run());
    }
}
