package linengauge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All decisions of one front. Whoever runs it tells the time with clock() before each round of calls, names
 * boxes with box(), titles with title(), and gives viewings with take() (new) or handOver() (playing
 * already). Boxes and viewings are handles: what is heard of them later is a call on the handle. The module
 * acts through Outside.java; what it is told at its start is in Headend.java. The ordinary path is EVeREst's
 * (docs/design.md); what departs says so.
 */
public final class Policy {
    /* The paired averages of the design. */
    private static final Span SHORT = Span.ofSeconds(1);
    private static final Span LONG = Span.ofSeconds(5);
    private static final Span BEAT = Span.ofMillis(500);
    private static final double UPPER_MARK = 1.0;
    /** At a step down the sample is over this: further viewings step in the same moment. */
    private static final double FAR_OVER = 1.15;
    private static final double SHORT_RESET = 0.3;
    private static final double LONG_RESET = 1.1;
    private static final Span STEP_PACE = Span.ofSeconds(2);
    private static final double LEAST_SHARE = 0.5;
    /** Set-ups and up-steps fill a link or uplink so far: true rates lie above or below the ladder. */
    private static final double FILL = 0.92;
    /** The same where fronts tell each other what they play: less is unseen. */
    private static final double FILL_TOLD = 0.99;
    /** A share under this is no crowding: the box stands still. */
    private static final double STANDSTILL = 0.25;

    /* What is known of boxes and racks. */
    private static final Span REPORT_AGE = Span.ofMillis(400);
    private static final Span CHANGE_LIFE = Span.ofSeconds(6);
    private static final Span RELAX = Span.ofSeconds(30);
    private static final Span TELL_ALL = Span.ofSeconds(6);
    private static final Span SHORT_NEWS = Span.ofMillis(1300);
    /** Old news of a link or uplink gives way to what is else known of it. */
    private static final Span NEWS_LIFE = Span.ofSeconds(8);
    private static final double ALIKE = 0.5;
    private static final double PROBE_SPEND = 0.012;
    private static final double PROBES_HELD = 4;
    private static final Span PROBE_SPACING = Span.ofMillis(700);

    /* Tune-ins. */
    private static final Span TYPICAL_JOIN = Span.ofMillis(150);
    private static final Span LEAST_WAIT = Span.ofMillis(250);
    private static final Span ANSWER_MARGIN = Span.ofMillis(60);
    private static final Span HOLD = Span.ofMillis(100);
    private static final Span COME_BACK = Span.ofMillis(600);
    private static final Span FIRST_AVOID = Span.ofSeconds(1);
    private static final int MOST_DOUBLINGS = 3;
    private static final double COLD_PART = 0.8;
    private static final Span COLD_SLACK = Span.ofMillis(500);

    private final Headend house;
    private final Outside outside;
    private final SplittableRandom chance;
    private final double middleKb;
    private final double fill;
    private final double alike;
    /** Boxes on the list, or gone from it with viewings left; emptied by the list and by the last viewing's
     * end. */
    private final List<MediaBox> boxes = new ArrayList<>();
    private final Rack[] racks;
    /** Moments of takes and of further tune-ins within the ration's window; time empties both. */
    private final ArrayDeque<Moment> taken = new ArrayDeque<>();
    private final ArrayDeque<Moment> further = new ArrayDeque<>();
    private Moment now = Moment.DISTANT_PAST;
    private Moment started;
    /** This front's viewings together: at their rungs, at their lowest rungs, and how many. */
    private double ownKb;
    private double ownFloorKb;
    private int ownCount;
    /** Streams that the listed boxes run at most; follows the list. */
    private double allPlaces;
    private double joinSeconds = TYPICAL_JOIN.seconds();
    private double probesLeft = PROBES_HELD;
    private Moment toldAllAt = Moment.DISTANT_PAST;

    public Policy(Headend house, long seed, Outside outside) {
        this.house = house;
        this.outside = outside;
        this.chance = new SplittableRandom(seed);
        double[] kb = house.ladderKb();
        this.middleKb = Math.sqrt(kb[0] * kb[kb.length - 1]);
        this.fill = house.permits().messages() ? FILL_TOLD : FILL;
        this.alike = house.permits().messages() ? 1 : 1 + ALIKE * (house.fronts() - 1);
        this.racks = new Rack[house.fleet().racks()];
        for (int i = 0; i < racks.length; i++) {
            racks[i] = new Rack();
        }
    }

    /** The time of the calls that follow. */
    public void clock(Moment moment) {
        now = moment;
        if (started == null) {
            started = moment;
            outside.wakeAfter(BEAT, this::beat);
        }
    }

    public MediaBox box(Outside.Line line) {
        return new MediaBox(line);
    }

    public Title title(int firstCell, int cellsInRow) {
        return new Title(firstCell, cellsInRow);
    }

    public Viewing take(Outside.Player player, PackageTerms terms, Title title, int ceiling, Span patience) {
        pruneRation();
        taken.add(now);
        probesLeft = Math.min(PROBES_HELD, probesLeft + probesPerViewing());
        Viewing vw = new Viewing(player, terms, title, ceiling, now.plus(patience));
        vw.place();
        return vw;
    }

    /** A viewing that plays already; the rung in force is heard with the next news. */
    public Viewing handOver(Outside.Player player, PackageTerms terms, Title title, int ceiling,
            MediaBox at) {
        Viewing vw = new Viewing(player, terms, title, ceiling, now);
        vw.answered = true;
        vw.playing = true;
        vw.settle(at, terms.lowestRung());
        return vw;
    }

    private double probesPerViewing() {
        double price = house.permits().probePrice();
        return price > 0 ? PROBE_SPEND / price : PROBES_HELD;
    }

    private void beat() {
        outside.wakeAfter(BEAT, this::beat);
        for (Rack r : racks) {
            r.relax();
            r.relist();
        }
        tellPeers();
        for (MediaBox b : boxes) {
            b.sample();
        }
        probesLeft = Math.min(PROBES_HELD, probesLeft + 0.1);
        while (probesLeft >= 1) {
            MediaBox stalest = null;
            double most = PROBE_SPACING.seconds();
            for (MediaBox b : boxes) {
                double need = now.since(b.probedAt).seconds() * Math.min(1, (1 + b.viewings.size()) / 4.0);
                if (b.serving && need > most) {
                    most = need;
                    stalest = b;
                }
            }
            if (stalest == null || !stalest.probe()) {
                return;
            }
        }
    }

    /** Where fronts may talk, each tells what it plays where since its last word, and all of it now and
     * then. */
    private void tellPeers() {
        if (!house.permits().messages() || house.fronts() < 2) {
            return;
        }
        boolean first = toldAllAt.equals(Moment.DISTANT_PAST);
        boolean all = !now.before(toldAllAt.plus(TELL_ALL));
        toldAllAt = all ? now : toldAllAt;
        List<MediaBox> news = new ArrayList<>();
        for (MediaBox b : boxes) {
            b.forgetSilentPeers();
            if (all ? b.link.own > 0 || b.toldPeersKb > 0 || first
                    : Math.abs(b.link.own - b.toldPeersKb) > middleKb / 10) {
                news.add(b);
                b.toldPeersKb = b.link.own;
            }
        }
        if (!news.isEmpty()) {
            outside.tellPeers(news);
        }
    }

    /* ---- what is known of each box, link and rack ---- */

    private record Change(Moment at, double kb) {
    }

    /** What is asked of a link or uplink: last reported use plus own changes since that report was true. */
    private abstract class Usage {
        double own;
        double told = Double.NaN;
        Moment toldTrueAt = Moment.DISTANT_PAST;
        /** All changes since the last report was true; the recent ones are kept apart until a report holds
         * them. */
        private double since;
        /** Own changes that a late report may not hold yet; time empties it. */
        private final ArrayDeque<Change> recent = new ArrayDeque<>();

        abstract double size();

        abstract double untold();

        void change(double kb) {
            own = Math.max(0, own + kb);
            heardOf(kb * alike);
        }

        /** A change here or, as told, at another front. */
        void heardOf(double kb) {
            recent.add(new Change(now, kb));
            since += kb;
            while (!recent.isEmpty() && recent.peek().at().before(now.minus(CHANGE_LIFE))) {
                recent.poll();
            }
        }

        void hear(double load, Moment trueAt) {
            if (Double.isNaN(load) || trueAt.before(toldTrueAt)) {
                return;
            }
            told = load * size();
            toldTrueAt = trueAt;
            while (!recent.isEmpty() && recent.peek().at().before(trueAt)) {
                recent.poll();
            }
            since = 0;
            for (Change c : recent) {
                since += c.kb();
            }
        }

        double demand() {
            if (Double.isNaN(told)) {
                return Math.max(own, untold());
            }
            double trust = Math.exp(-now.since(toldTrueAt).seconds() / NEWS_LIFE.seconds());
            return Math.max(own, trust * (told + since) + (1 - trust) * untold());
        }

        double load() {
            return demand() / size();
        }

        double room() {
            return fill * size() - demand();
        }
    }

    /** The mean rate of this front's viewings; others' are taken to be alike. */
    private double meanRate() {
        return (middleKb + ownKb) / (1 + ownCount);
    }

    /** The uplink that a rack's boxes share. */
    private final class Rack extends Usage {
        private double sizeKb = house.fleet().uplinkKb();
        private Moment sizedAt = Moment.DISTANT_PAST;
        /** Demand about as long ago as a short note was true: shedding since must not make the uplink look
         * small. */
        private double lately;
        /** What the list says of the rack; a cold link grows, so it is looked at again with each beat. */
        private int serving;
        private double linksKb;

        @Override
        double size() {
            return sizeKb;
        }

        @Override
        double untold() {
            if (reported()) {
                return told;
            }
            double sum = 0;
            for (MediaBox b : boxes) {
                sum += b.rack != this ? 0 : house.permits().messages() ? b.link.untold() : b.link.demand();
            }
            return sum;
        }

        void relist() {
            serving = 0;
            linksKb = 0;
            for (MediaBox b : boxes) {
                if (b.rack == this && b.serving) {
                    serving++;
                    linksKb += b.link.size();
                }
            }
        }

        private boolean reported() {
            return house.permits().reportsUplink() && !Double.isNaN(told);
        }

        /** What others ask of an uplink that reports tell of, spread over its links by their size. */
        double othersPart(double linkSize) {
            if (!reported()) {
                return 0;
            }
            return Math.max(0, demand() - own) * linkSize / (linkSize + linksKb);
        }

        /** A short uplink is short for all its boxes: one that plays and is not short clears it. */
        boolean shortEverywhere() {
            int shorts = 0;
            for (MediaBox b : boxes) {
                if (b.rack == this && b.settingUp() < b.viewings.size()) {
                    if (SHORT_NEWS.under(now.since(b.shortAt))) {
                        return false;
                    }
                    shorts++;
                }
            }
            return shorts > 1;
        }

        /** Where no report tells of the uplink, a shortfall that the link does not explain sizes it; the
         * size drifts back to what was told, so that an uplink that recovers is used again. */
        void shortOf(double share) {
            sizeKb = share * Math.max(lately, demand());
            sizedAt = now;
        }

        void relax() {
            double full = house.fleet().uplinkKb();
            double weight = Math.min(1, now.since(sizedAt).seconds() / RELAX.seconds());
            sizeKb += weight * (full - sizeKb);
            sizedAt = now;
            double lag = house.fleet().shareLateness().plus(SHORT).seconds();
            lately += Math.min(1, BEAT.seconds() / lag) * (demand() - lately);
        }
    }

    public final class MediaBox {
        private final Outside.Line line;
        private final Link link = new Link();
        /** Viewings with a tune-in out or playing here; each leaves when that ends. */
        private final List<Viewing> viewings = new ArrayList<>();
        private Rack rack = racks[0];
        private boolean serving;
        private boolean listed;
        private int cell;
        private int building;
        private int kind;
        private double weight = 1;
        private Moment startedAt = Moment.DISTANT_PAST;
        private double streams = Double.NaN;
        private Moment probedAt = Moment.DISTANT_PAST;
        private double shortAverage = SHORT_RESET;
        private double longAverage = LONG_RESET;
        private Moment sampledAt;
        private Moment shortAt = Moment.DISTANT_PAST;
        private Moment steppedUpAt = Moment.DISTANT_PAST;
        private int failures;
        private Moment avoidUntil = Moment.DISTANT_PAST;
        private Moment lostAt = Moment.DISTANT_PAST;
        private final double[] peerKb = new double[house.fronts()];
        private final int[] peerCount = new int[house.fronts()];
        private final Moment[] peerSpokeAt = new Moment[house.fronts()];
        private double toldPeersKb;
        /** Sends within the window in which a cold box may fall: it may turn out cold later; time empties
         * it. */
        private final ArrayDeque<Moment> sends = new ArrayDeque<>();

        private MediaBox(Outside.Line line) {
            this.line = line;
        }

        public Outside.Line line() {
            return line;
        }

        /** What this front's viewings here are asked at together. */
        public double ownKb() {
            return link.own;
        }

        public int ownViewings() {
            return viewings.size();
        }

        public void serving(double weight, int cell, int kind, int building, Moment startedAt) {
            if (this.startedAt.before(startedAt)) {
                forgetPast();
            }
            this.weight = weight;
            this.cell = cell;
            this.kind = kind;
            this.building = building;
            this.startedAt = startedAt;
            Rack home = racks[Math.floorMod(cell, racks.length)];
            if (home != rack) {
                rack.change(-link.own);
                rack = home;
                rack.change(link.own);
            }
            serving = true;
            list();
            relist();
        }

        public void draining() {
            serving = false;
            list();
            relist();
        }

        public void gone() {
            serving = false;
            listed = false;
            tidy();
            relist();
        }

        /** Nothing is held here any more and the list no longer names it. */
        public boolean forgotten() {
            return !listed && viewings.isEmpty();
        }

        private void list() {
            if (!listed && !boxes.contains(this)) {
                boxes.add(this);
            }
            listed = true;
        }

        private void relist() {
            allPlaces = 0;
            for (MediaBox b : boxes) {
                allPlaces += b.listed ? b.places() : 0;
            }
            for (Rack r : racks) {
                r.relist();
            }
        }

        private void tidy() {
            if (forgotten()) {
                boxes.remove(this);
            }
        }

        private void forgetPast() {
            failures = 0;
            avoidUntil = Moment.DISTANT_PAST;
            link.told = Double.NaN;
            streams = Double.NaN;
        }

        /** What the box reports of itself; figures that it does not report are NaN. */
        public void reported(double linkAsked, double uplinkAsked, double streams) {
            Moment trueAt = now.minus(REPORT_AGE);
            link.hear(linkAsked, trueAt);
            rack.hear(uplinkAsked, trueAt);
            this.streams = streams;
            for (Viewing vw : List.copyOf(viewings)) {
                vw.reconsider();
            }
            sample();
        }

        public void probed(boolean answered) {
            if (!answered) {
                failed(true);
            }
        }

        private boolean probe() {
            if (!house.permits().probes() || probesLeft < 1) {
                return false;
            }
            probesLeft--;
            probedAt = now;
            line.probe();
            return true;
        }

        private boolean holds(Title title) {
            int cells = Math.max(1, house.fleet().cells());
            return title.cellsInRow <= 0 || Math.floorMod(cell - title.firstCell, cells) < title.cellsInRow;
        }

        /** Guards against boxes that fail set-ups in whatever way: silence, quick errors, being full or out
         * of reach. Each failure doubles the time for which others are preferred, a success halves it. It
         * should also hold against boxes that are merely slow; it could harm where one bad moment hits many
         * boxes at once, so a box that is avoided is still used where no other is left. */
        private void failed(boolean silent) {
            avoidUntil = now.plus(FIRST_AVOID.times(1 << Math.min(failures, MOST_DOUBLINGS)));
            failures = Math.min(failures + 1, MOST_DOUBLINGS + 1);
            if (silent) {
                lostAt = now;
            }
        }

        private void succeeded() {
            failures = Math.max(0, failures / 2);
            avoidUntil = Moment.DISTANT_PAST;
        }

        private boolean avoided() {
            return now.before(avoidUntil) || failures > 0 && settingUp() > 0;
        }

        private int settingUp() {
            int n = 0;
            for (Viewing vw : viewings) {
                n += vw.playing ? 0 : 1;
            }
            return n;
        }

        /** A share of the rates under one is heard as a demand over size of one over the share, at link or
         * uplink. */
        private void heardShare(double share) {
            if (share >= 0.98) {
                return;
            }
            if (share < STANDSTILL) {
                failed(false);
                return;
            }
            shortAt = now;
            Moment trueAt = now.minus(house.fleet().shareLateness());
            double asked = 1 / Math.max(LEAST_SHARE, share);
            if (!rack.shortEverywhere()) {
                link.hear(asked, trueAt);
            } else if (house.permits().reportsUplink()) {
                rack.hear(asked, trueAt);
            } else {
                rack.shortOf(Math.max(LEAST_SHARE, share));
            }
            sample();
        }

        /** The share of its size that a box which has just started is sure to give. */
        private double warmth() {
            double age = now.since(startedAt).seconds();
            double whole = house.rules().coldFor().seconds();
            double start = house.rules().startCapacity();
            return age >= whole || whole <= 0 ? 1 : start + (1 - start) * Math.max(0, age) / whole;
        }

        /** Its own link as the list's sizes, or else the streams of its kind, divide the links told at the
         * start. */
        private final class Link extends Usage {
            @Override
            double size() {
                Headend.Fleet fleet = house.fleet();
                if (fleet.linkKbPerWeight() > 0) {
                    return Math.max(1, fleet.linkKbPerWeight() * weight) * warmth();
                }
                return Math.max(1, fleet.linksKb() * places() / Math.max(allPlaces, places())) * warmth();
            }

            @Override
            double untold() {
                return own + (house.permits().messages() ? elsewhere() : rack.othersPart(size()));
            }
        }

        /** Guards against the last word of a front that is gone: it counts no longer than two full
         * tellings. */
        private void forgetSilentPeers() {
            for (int f = 0; f < peerKb.length; f++) {
                if (peerKb[f] > 0 && peerSpokeAt[f].plus(TELL_ALL.times(2.2)).before(now)) {
                    peerPlays(f, 0, 0);
                }
            }
        }

        /** What the other fronts say that they play here. */
        private double elsewhere() {
            double sum = 0;
            for (double kb : peerKb) {
                sum += kb;
            }
            return sum;
        }

        /** Another front tells what its viewings here are asked at; the change since its last word counts
         * like an own. */
        public void peerPlays(int front, int count, double kb) {
            if (front >= 0 && front < peerKb.length && front != house.ownNumber()) {
                double more = kb - peerKb[front];
                peerKb[front] = kb;
                peerCount[front] = count;
                peerSpokeAt[front] = now;
                link.heardOf(more);
                rack.heardOf(more);
            }
        }

        private double places() {
            int[] byKind = house.fleet().streamsByKind();
            return kind < byKind.length ? byKind[kind] : 1;
        }

        /* ---- the paired averages and the cap ---- */

        /** One sample of demand over size: both averages move, then a step down, one up, or none. */
        private void sample() {
            double x = Math.max(link.load(), rack.load());
            double passed = sampledAt == null ? 0 : now.since(sampledAt).seconds();
            shortAverage += Math.min(1, passed / SHORT.seconds()) * (x - shortAverage);
            longAverage += Math.min(1, passed / LONG.seconds()) * (x - longAverage);
            sampledAt = now;
            if (shortAverage >= UPPER_MARK) {
                Viewing top = topThatCanFall();
                shortAverage = top == null ? shortAverage : SHORT_RESET;
                double alsoElsewhere = 0;
                List<Viewing> lowered = new ArrayList<>();
                while (top != null) {
                    alsoElsewhere += (house.fronts() - alike) * (top.rate(top.rung) - top.rate(top.rung - 1));
                    top.shift(-1);
                    lowered.remove(top);
                    lowered.add(top);
                    double left = Math.max((link.demand() - alsoElsewhere) / link.size(),
                            (rack.demand() - alsoElsewhere) / rack.size());
                    top = left > FAR_OVER ? topThatCanFall() : null;
                }
                // Each change while it plays costs: one for several steps.
                lowered.forEach(vw -> vw.player.rung(vw.rung));
            } else if (!now.before(steppedUpAt.plus(STEP_PACE))) {
                Viewing low = null;
                for (Viewing vw : viewings) {
                    if (vw.playing && vw.rung < vw.ceiling && capped(vw.rate(vw.rung + 1), vw.rate(vw.rung))
                            && (low == null || vw.rung < low.rung
                            || vw.rung == low.rung && vw.gain(vw.rung) > low.gain(low.rung))) {
                        low = vw;
                    }
                }
                if (low != null) {
                    double lowerMark = fill - (low.rate(low.rung + 1) - low.rate(low.rung)) / link.size();
                    if (longAverage < lowerMark && x < lowerMark) {
                        longAverage = LONG_RESET;
                        steppedUpAt = now;
                        low.step(1);
                    }
                }
            }
        }

        private Viewing topThatCanFall() {
            Viewing top = null;
            for (Viewing vw : viewings) {
                if (vw.playing && vw.rung > vw.terms.lowestRung() && (top == null || vw.rung > top.rung
                        || vw.rung == top.rung && vw.gain(vw.rung - 1) < top.gain(top.rung - 1))) {
                    top = vw;
                }
            }
            return top;
        }

        /** N: the link's viewings, by own account and what reports say beyond it. */
        private double sharers() {
            if (!Double.isNaN(streams)) {
                return Math.max(streams, viewings.size());
            }
            if (house.permits().messages()) {
                int n = viewings.size();
                for (int count : peerCount) {
                    n += count;
                }
                return n;
            }
            return viewings.size() + Math.max(0, link.demand() - link.own) / meanRate();
        }

        private boolean capped(double rate, double present) {
            return rate <= link.size() / (sharers() + 1) || rate - present + middleKb <= link.room()
                    && rate - present + rack.serving * middleKb <= rack.room();
        }

        private double room() {
            return Math.min(link.room(), rack.room());
        }
    }

    /** What is watched: where it is held, and the viewings of it here that hold a seat. */
    public static final class Title {
        private final int firstCell;
        private final int cellsInRow;
        /** One row a package with seats; a row leaves with its last viewing. */
        private final java.util.Map<PackageTerms, Integer> seated = new java.util.HashMap<>();

        private Title(int firstCell, int cellsInRow) {
            this.firstCell = firstCell;
            this.cellsInRow = cellsInRow;
        }
    }

    public final class Viewing {
        private final Outside.Player player;
        private final PackageTerms terms;
        private final Title title;
        private final int ceiling;
        private final Moment target;
        private final Moment patienceEnds;
        /** The boxes tried so far; it goes with the viewing. */
        private final List<MediaBox> tried = new ArrayList<>(2);
        private MediaBox at;
        private int rung;
        private int tuneIns;
        private boolean playing;
        private boolean answered;
        private boolean mayHaveRun;

        private Viewing(Outside.Player player, PackageTerms terms, Title title, int ceiling,
                Moment patienceEnds) {
            this.player = player;
            this.terms = terms;
            this.title = title;
            this.ceiling = Math.max(terms.lowestRung(), Math.min(ceiling, terms.highestRung()));
            this.patienceEnds = patienceEnds;
            this.target = now.plus(terms.joinTarget());
        }

        private double rate(int r) {
            return terms.rateFactor() * house.ladderKb()[r];
        }

        /** Value gained for each kB of the step from r to r + 1. */
        private double gain(int r) {
            return terms.value() * (house.rungValue()[r + 1] - house.rungValue()[r])
                    / (rate(r + 1) - rate(r));
        }

        private void step(int by) {
            shift(by);
            player.rung(rung);
        }

        private void shift(int by) {
            change(rate(rung + by) - rate(rung));
            rung += by;
        }

        private void change(double kb) {
            ownKb = Math.max(0, ownKb + kb);
            at.link.change(kb);
            at.rack.change(kb);
        }

        /* ---- placement ---- */

        /** Sends to the roomiest holder by rack and link; waits a little where the gate is shut, blocks if
         * it stays. */
        private void place() {
            if (answered) {
                return;
            }
            MediaBox best = null;
            double most = Double.NEGATIVE_INFINITY;
            for (MediaBox b : boxes) {
                if (!mayTuneIn(this, b)) {
                    continue;
                }
                double score = b.room() + 0.2 * b.link.room() + 0.1 * middleKb * chance.nextDouble();
                score -= b.building == house.building() ? 0 : house.permits().crossingPrice() * 10 * middleKb;
                score -= b.avoided() ? 1e9 * (1 + b.failures) : 0;
                score -= tried.contains(b) ? 1e8 : 0;
                if (score > most) {
                    most = score;
                    best = b;
                }
            }
            if (best != null && !crowdedOut(best)) {
                tuneIn(best);
            } else if (best == null && mayStillPlay() && HOLD.under(patienceLeft(this))
                    && now.plus(HOLD).before(target)) {
                outside.wakeAfter(HOLD, this::place);
            } else {
                giveUp();
            }
        }

        /** Overload: not even with every viewing on its lowest rung would the newcomer fit. What other
         * fronts play is taken to be like what this one plays. */
        private boolean crowdedOut(MediaBox b) {
            double part = ownKb > 0 ? ownFloorKb / ownKb : 1;
            double least = rate(terms.lowestRung());
            return part * b.link.demand() + least > b.link.size()
                    || part * b.rack.demand() + least > b.rack.size();
        }

        private boolean mayStillPlay() {
            return tuneIns < house.permits().tuneIns() && (!mayHaveRun || !terms.paidAtSetUp());
        }

        /** The highest rung that fits cap and room, or else the lowest of the package. */
        private int fit(MediaBox b, double present) {
            for (int r = ceiling; r > terms.lowestRung(); r--) {
                if (rate(r) - present <= b.room() && b.capped(rate(r), present)) {
                    return r;
                }
            }
            return terms.lowestRung();
        }

        private void tuneIn(MediaBox b) {
            int fits = fit(b, 0);
            Span toTarget = target.since(now);
            Span wait = Span.ofSeconds(4 * joinSeconds / b.warmth()).orMore(LEAST_WAIT);
            if (LEAST_WAIT.under(toTarget)) {
                wait = wait.orLess(toTarget.times(0.6)).orMore(LEAST_WAIT);
            } else {
                wait = wait.times(2);
            }
            gatePassed(this, b);
            settle(b, fits);
            tried.add(b);
            player.rung(rung);
            player.tuneIn(b, wait.orLess(patienceLeft(this)));
            if (PROBE_SPACING.under(now.since(b.probedAt))) {
                b.probe();
            }
        }

        private void settle(MediaBox b, int r) {
            at = b;
            rung = r;
            change(rate(r));
            ownFloorKb += rate(terms.lowestRung());
            ownCount++;
            b.viewings.add(this);
            if (terms.seats() > 0) {
                title.seated.merge(terms, 1, Integer::sum);
            }
        }

        private void leave() {
            change(-rate(rung));
            ownFloorKb = Math.max(0, ownFloorKb - rate(terms.lowestRung()));
            ownCount--;
            at.viewings.remove(this);
            if (terms.seats() > 0) {
                title.seated.computeIfPresent(terms, (t, n) -> n > 1 ? n - 1 : null);
            }
            at.tidy();
            at = null;
        }

        /** Before the box has started it, the rung follows news for nothing. */
        private void reconsider() {
            if (playing || answered) {
                return;
            }
            int fits = fit(at, rate(rung));
            if (fits != rung) {
                step(fits - rung);
            }
        }

        /** The final answer, at once: blocked where that is safe to say, else aborted. */
        private void giveUp() {
            answered = true;
            if (mayHaveRun && terms.paidAtSetUp()) {
                player.abort();
            } else {
                player.block(COME_BACK.orLess(house.permits().longestAdvice()));
            }
        }

        /* ---- end-of-viewing bookkeeping ---- */

        public void playing(Span took) {
            if (at == null) {
                return;
            }
            playing = true;
            answered = true;
            joinSeconds += 0.05 * (took.seconds() - joinSeconds);
            at.succeeded();
            at.sample();
        }

        /** The tune-in is no longer out; over says that the viewing has ended with it or before. */
        public void tuneInEnded(Outside.Ending how, boolean over, Span took) {
            if (at == null) {
                return;
            }
            MediaBox b = at;
            boolean wasPlaying = playing;
            playing = false;
            leave();
            mayHaveRun |= !how.neverRan;
            switch (how) {
                case ERROR, TURNED_AWAY -> b.failed(false);
                case NO_ANSWER, NOT_REACHED, BROKEN -> b.failed(true);
                default -> {
                }
            }
            b.sample();
            answered |= over || wasPlaying;
            if (!answered) {
                place();
            }
        }

        /** The viewer has gone; a tune-in that is out still ends by itself. */
        public void viewerLeft() {
            answered = true;
        }

        public void shareDelivered(double share) {
            if (at != null) {
                at.heardShare(share);
            }
        }

        public void rungInForce(int inForce) {
            if (at != null && inForce != rung && inForce >= 0 && inForce < house.ladderKb().length) {
                shift(inForce - rung);
            }
        }

        public void linkAsked(double asked) {
            if (at != null) {
                at.link.hear(asked, now.minus(playing ? house.fleet().shareLateness() : Span.NONE));
                at.sample();
            }
        }

        public void uplinkAsked(double asked) {
            if (at != null) {
                at.rack.hear(asked, now.minus(house.fleet().shareLateness()));
                at.sample();
            }
        }
    }

    /* ---- the gate: every send passes here, and every rule is kept here ---- */

    private boolean mayTuneIn(Viewing vw, MediaBox b) {
        return !vw.answered && vw.at == null && vw.mayStillPlay() // one tune-in out, none twice
                && ANSWER_MARGIN.under(patienceLeft(vw)) // the answer comes before the viewer's patience ends
                && b.serving && b.holds(vw.title) // drains: nothing at all once told, well within the grace
                && (vw.terms.seats() <= 0 || vw.title.seated.getOrDefault(vw.terms, 0) < vw.terms.seats())
                && (vw.tuneIns == 0 || furtherLeft())
                && coldPaceKept(b);
    }

    private Span patienceLeft(Viewing vw) {
        return vw.patienceEnds.since(now).minus(ANSWER_MARGIN);
    }

    private void gatePassed(Viewing vw, MediaBox b) {
        if (vw.tuneIns++ > 0) {
            further.add(now);
        }
        prune(b.sends, now.minus(fallWindow()));
        b.sends.add(now);
    }

    private boolean furtherLeft() {
        Headend.Rules rules = house.rules();
        if (rules.furtherSpan().equals(Span.NONE)) {
            return true;
        }
        pruneRation();
        return further.size() + 1 <= rules.furtherFree() + rules.furtherShare() * taken.size();
    }

    private void pruneRation() {
        Moment from = now.minus(house.rules().furtherSpan());
        prune(further, from);
        prune(taken, from.plus(ANSWER_MARGIN));
    }

    private static void prune(ArrayDeque<Moment> moments, Moment from) {
        while (!moments.isEmpty() && moments.peek().before(from)) {
            moments.poll();
        }
    }

    /** The span over which sends to a cold box are counted. */
    private Span fallWindow() {
        return house.rules().fallAfter().plus(COLD_SLACK);
    }

    /** Just started, or lost from sight so lately that it may have. */
    private boolean cold(MediaBox b) {
        return now.before(b.startedAt.orLater(b.lostAt).plus(house.rules().coldFor()));
    }

    /** A cold box gets this front's part of what all fronts together may send it in any window, reckoned at
     * the capacity that it surely has at its start. Where a part is less than one set-up the fronts take
     * turns by their numbers, so that they keep it with no word between them. A front that has itself just
     * started may have sent before: it waits. */
    private boolean coldPaceKept(MediaBox b) {
        Headend.Rules rules = house.rules();
        if (!cold(b)) {
            return true;
        }
        Span window = fallWindow();
        prune(b.sends, now.minus(window));
        double all = COLD_PART * rules.fallMultiple() * b.places() * rules.startCapacity()
                * rules.fallAfter().seconds() / rules.coldFor().seconds();
        if (now.since(started).under(window)) {
            return false;
        }
        double part = Math.floor(all / house.fronts());
        if (part >= 1) {
            return b.sends.size() < part;
        }
        double turns = Math.floor(all) - 1;
        if (turns < 1) {
            return false;
        }
        long turn = Math.floorDiv(now.micros(), Math.max(1, Math.round(window.micros() / turns)));
        return b.sends.isEmpty() && Math.floorMod(turn, house.fronts()) == house.ownNumber();
    }
}
