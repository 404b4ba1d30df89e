package linengauge.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.PackageTerms;
import linengauge.Policy;
import linengauge.Span;
import linengauge.wire.WireHost.Row;
import linengauge.wire.WireHost.Wrong;

/** One front: turns ids into the module's handles and its decisions into actions. */
final class WireFront implements Outside {
    private static final Set<String> EVENTS = Set.of("backendsChanged", "demand", "headers", "sampled", "completed",
            "mail", "resumed", "reminder", "cancelledByClient", "statusNote");

    /** Bytes of the two kinds of word between fronts; nothing else tells them apart. */
    private static final int WORD = 8;
    private static final int ANSWER = 11;

    private final int number;
    private final PrintStream complaints;
    private final List<PackageTerms> packages;
    private final Policy policy;
    private final Map<Long, WireBox> boxes = new LinkedHashMap<>();
    /** Emptied as viewings end: an id stays while its answer is owed or a tune-in is out. */
    private final Map<Long, WireViewing> viewings = new HashMap<>();
    /** Titles with a viewing here; a title leaves with its last one. */
    private final Map<String, WireTitle> titles = new HashMap<>();
    /** Steps that wait for their reminder; each leaves when it comes. */
    private final Map<String, Runnable> steps = new HashMap<>();
    /** Viewings answered by the module within the present event; emptied after it. */
    private final List<WireViewing> touched = new ArrayList<>();
    private long stepNumber;
    private JsonGenerator g;
    private boolean broken;

    WireFront(int number, long seed, Map<?, ?> conf, PrintStream complaints) throws Wrong {
        this.number = number;
        this.complaints = complaints;
        var headend = WireTerms.read(conf);
        this.packages = headend.packages();
        this.policy = new Policy(headend, seed, this);
    }

    static boolean knows(String event) {
        return EVENTS.contains(event);
    }

    private final class WireBox implements Line {
        final long id;
        final Policy.MediaBox box;
        boolean listed;

        WireBox(long id) {
            this.id = id;
            this.box = policy.box(this);
        }

        @Override
        public void probe() {
            act("inspect", id);
        }
    }

    private static final class WireTitle {
        final Policy.Title title;
        int viewings;

        WireTitle(Policy.Title title) {
            this.title = title;
        }
    }

    private final class WireViewing implements Player {
        final long id;
        final String titleName;
        Policy.Viewing handle;
        boolean out;
        boolean answered;

        WireViewing(long id, String titleName) {
            this.id = id;
            this.titleName = titleName;
        }

        @Override
        public void tuneIn(Policy.MediaBox box, Span timeout) {
            out = true;
            act("passOn", id, ((WireBox) box.line()).id, timeout.micros());
        }

        @Override
        public void rung(int rung) {
            act("setRung", id, rung);
        }

        @Override
        public void block(Span comeBackAfter) {
            act("bounce", id, comeBackAfter.micros());
            answered();
        }

        @Override
        public void abort() {
            act("reportFailure", id);
            answered();
        }

        private void answered() {
            answered = true;
            touched.add(this);
        }
    }

    private interface Deed {
        void run() throws IOException, Wrong;
    }

    /** Runs one call into the module; what the module throws ends the front with the wire's fault action. */
    private void call(Moment now, JsonGenerator writer, Deed deed) throws IOException, Wrong {
        if (broken) {
            return;
        }
        g = writer;
        try {
            policy.clock(now);
            deed.run();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } catch (RuntimeException e) {
            broken = true;
            complaints.println("linengauge: the module of front " + number + " failed");
            e.printStackTrace(complaints);
            act("exception", e.toString());
        }
    }

    void listed(String mode, List<Row> rows, Moment now, JsonGenerator writer) throws IOException, Wrong {
        if (mode.equals("refused")) {
            return;
        }
        if (!mode.equals("changes") && !mode.equals("all") && !mode.equals("remembered")) {
            throw new Wrong("unknown mode '" + mode + "'");
        }
        call(now, writer, () -> {
            Set<Long> named = new HashSet<>();
            for (Row row : rows) {
                named.add(row.id());
                WireBox b = boxes.computeIfAbsent(row.id(), WireBox::new);
                b.listed = !row.state().equals("DELETED");
                switch (row.state()) {
                    case "SERVING" -> b.box.serving(row.weight(), row.cell(), row.kind(), row.zone(),
                            row.startedUs() <= 0 ? Moment.DISTANT_PAST : new Moment(row.startedUs()));
                    case "DRAINING" -> b.box.draining();
                    case "DELETED" -> b.box.gone();
                    default -> throw new Wrong("unknown health '" + row.state() + "'");
                }
            }
            if (!mode.equals("changes")) {
                for (WireBox b : boxes.values()) {
                    if (b.listed && !named.contains(b.id)) {
                        b.listed = false;
                        b.box.gone();
                    }
                }
            }
            boxes.values().removeIf(b -> !b.listed && b.box.forgotten());
        });
    }

    void happened(String name, Message m, Moment now, JsonGenerator writer) throws IOException, Wrong {
        switch (name) {
            case "demand" -> demand(m, now, writer);
            case "resumed" -> resumed(m, now, writer);
            case "headers" -> {
                WireViewing vw = viewings.get(m.whole("job"));
                m.skip();
                m.whole("rttUs", 0);
                m.end();
                if (vw != null) {
                    call(now, writer, () -> vw.handle.playing());
                }
            }
            case "completed" -> completed(m, now, writer);
            case "cancelledByClient" -> {
                WireViewing vw = viewings.get(m.whole("job"));
                m.end();
                if (vw != null) {
                    vw.answered = true;
                    call(now, writer, () -> vw.handle.viewerLeft());
                    release(vw);
                }
            }
            case "statusNote" -> {
                WireViewing vw = viewings.get(m.whole("job"));
                m.skip();
                double level = m.number("level", Double.NaN);
                int topic = m.integer("topic", 0);
                m.end();
                if (vw != null && !Double.isNaN(level)) {
                    call(now, writer, () -> note(vw, topic, level));
                }
            }
            case "sampled" -> {
                WireBox b = boxes.get(m.whole("server"));
                int how = m.integer("how");
                m.whole("rttUs", 0);
                Map<?, ?> load = m.object("feedback");
                m.end();
                if (b != null) {
                    call(now, writer, () -> {
                        report(b, load);
                        b.box.probed(how == 200);
                    });
                }
            }
            case "reminder" -> {
                Runnable step = steps.remove(m.text("nonce"));
                m.end();
                if (step != null) {
                    call(now, writer, step::run);
                }
            }
            case "mail" -> {
                int peer = m.integer("neighbour");
                String octets = m.text("octets");
                m.end();
                call(now, writer, () -> mail(peer, octets));
            }
            default -> m.end();
        }
        for (WireViewing vw : touched) {
            release(vw);
        }
        touched.clear();
    }

    private void demand(Message m, Moment now, JsonGenerator writer) throws IOException, Wrong {
        long id = m.whole("job");
        String item = m.text("item");
        Span patience = new Span(m.whole("budgetUs"));
        m.skip();
        PackageTerms terms = terms(m.integer("type"));
        int fromCell = m.integer("fromCell", 0);
        m.skip();
        m.skip();
        int cells = m.integer("cellsInRow", 0);
        int ceiling = m.integer("ceilingRung", terms.highestRung());
        m.end();
        call(now, writer, () -> {
            WireViewing vw = hold(id, item);
            vw.handle = policy.take(vw, terms, title(item, fromCell, cells), ceiling, patience);
            release(vw);
        });
    }

    private void resumed(Message m, Moment now, JsonGenerator writer) throws IOException, Wrong {
        long id = m.whole("job");
        PackageTerms terms = terms(m.integer("type"));
        m.skip();
        m.skip();
        String item = m.text("title");
        m.skip();
        m.skip();
        int fromCell = m.integer("fromCell", 0);
        int cells = m.integer("cellsInRow", 0);
        int ceiling = m.integer("ceilingRung", terms.highestRung());
        m.skip();
        WireBox b = boxes.computeIfAbsent(m.whole("server"), WireBox::new);
        m.end();
        call(now, writer, () -> {
            WireViewing vw = hold(id, item);
            vw.out = true;
            vw.handle = policy.handOver(vw, terms, title(item, fromCell, cells), ceiling, b.box);
        });
    }

    private void completed(Message m, Moment now, JsonGenerator writer) throws IOException, Wrong {
        WireViewing vw = viewings.get(m.whole("job"));
        m.skip();
        boolean over = m.flag("terminal");
        int how = m.integer("how");
        m.whole("rttUs", 0);
        Long server = m.whole("server", -1);
        Map<?, ?> load = m.object("feedback");
        m.end();
        Ending ending = switch (how) {
            case 200 -> Ending.FINISHED;
            case 502 -> Ending.ERROR;
            case 429 -> Ending.TURNED_AWAY;
            case 408 -> Ending.NO_ANSWER;
            case 521 -> Ending.NOT_REACHED;
            case 520 -> Ending.BROKEN;
            case 444 -> Ending.WITHDRAWN;
            case 409 -> Ending.NEVER_SENT;
            default -> throw new Wrong("unknown outcome " + how);
        };
        WireBox b = boxes.get(server);
        call(now, writer, () -> {
            if (b != null) {
                report(b, load);
            }
            if (vw != null) {
                vw.out = false;
                vw.answered |= over;
                vw.handle.tuneInEnded(ending, over);
                release(vw);
            }
        });
    }

    private static void note(WireViewing vw, int topic, double level) {
        switch (topic) {
            case 1 -> vw.handle.shareDelivered(level);
            case 2 -> vw.handle.rungInForce((int) level);
            case 3 -> vw.handle.loadsTold(level, Double.NaN);
            case 4 -> vw.handle.loadsTold(Double.NaN, level);
            default -> {
            }
        }
    }

    private static void report(WireBox b, Map<?, ?> load) {
        if (!load.isEmpty()) {
            b.box.reported(figure(load, "x0"), figure(load, "x1"), figure(load, "outstanding"));
        }
    }

    private static double figure(Map<?, ?> load, String key) {
        return load.get(key) instanceof Double d ? d : Double.NaN;
    }

    private PackageTerms terms(int type) throws Wrong {
        if (type < 0 || type >= packages.size()) {
            throw new Wrong("'type' names no package: " + type);
        }
        return packages.get(type);
    }

    private Policy.Title title(String item, int fromCell, int cells) {
        WireTitle t = titles.computeIfAbsent(item, name -> new WireTitle(policy.title(fromCell, cells)));
        t.viewings++;
        return t.title;
    }

    private WireViewing hold(long id, String titleName) {
        WireViewing vw = new WireViewing(id, titleName);
        viewings.put(id, vw);
        return vw;
    }

    private void release(WireViewing vw) {
        if (vw.answered && !vw.out && viewings.remove(vw.id, vw)) {
            titles.computeIfPresent(vw.titleName, (name, t) -> --t.viewings > 0 ? t : null);
        }
    }

    @Override
    public void wakeAfter(Span span, Runnable step) {
        String token = Long.toString(stepNumber++, 36);
        steps.put(token, step);
        act("notifyMe", span.micros(), token);
    }

    /** A word to the keeper of a box's rack: its id, how many viewings, their kB a second in steps of eight, and
     * the uplink's share in steps of a 200th. */
    @Override
    public void tell(int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
        say(front, word(WORD, box, viewings, kb).put((byte) Math.round(200 * uplinkShare)));
    }

    /** The keeper's answer: the same of all others, and the rack's kB and size in steps of 32. */
    @Override
    public void answer(int front, Policy.MediaBox box, int othersViewings, double othersKb, double rackKb,
            double rackSizeKb) {
        say(front, word(ANSWER, box, othersViewings, othersKb)
                .putShort(eighths(rackKb / 4)).putShort(eighths(rackSizeKb / 4)));
    }

    private static ByteBuffer word(int length, Policy.MediaBox box, int viewings, double kb) {
        return ByteBuffer.allocate(length).putInt((int) ((WireBox) box.line()).id)
                .put((byte) Math.min(0xff, viewings)).putShort(eighths(kb));
    }

    private static short eighths(double kb) {
        return (short) Math.max(0, Math.min(0xffff, Math.round(kb / 8)));
    }

    private void say(int front, ByteBuffer bytes) {
        act("say", front, Base64.getEncoder().encodeToString(bytes.array()));
    }

    private void mail(int peer, String octets) throws Wrong {
        ByteBuffer bytes;
        try {
            bytes = ByteBuffer.wrap(Base64.getDecoder().decode(octets));
        } catch (IllegalArgumentException e) {
            throw new Wrong("'octets' should be base64");
        }
        if (bytes.remaining() != WORD && bytes.remaining() != ANSWER) {
            return;
        }
        boolean answer = bytes.remaining() == ANSWER;
        WireBox b = boxes.get(Integer.toUnsignedLong(bytes.getInt()));
        if (b == null) {
            return;
        }
        int count = Byte.toUnsignedInt(bytes.get());
        double kb = 8.0 * Short.toUnsignedInt(bytes.getShort());
        if (answer) {
            b.box.othersPlay(count, kb, 32.0 * Short.toUnsignedInt(bytes.getShort()),
                    32.0 * Short.toUnsignedInt(bytes.getShort()));
        } else {
            b.box.frontPlays(peer, count, kb, Byte.toUnsignedInt(bytes.get()) / 200.0);
        }
    }

    private void act(String name, Object... values) {
        try {
            g.writeStartArray();
            g.writeString(name);
            g.writeNumber(number);
            for (Object v : values) {
                if (v instanceof String s) {
                    g.writeString(s);
                } else {
                    g.writeNumber(((Number) v).longValue());
                }
            }
            g.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
