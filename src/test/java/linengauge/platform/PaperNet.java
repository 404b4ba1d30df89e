package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Carrier.Wake;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;

/** A net on paper: what a front writes and closes is noted in order, and a test says what comes and when time passes. */
final class PaperNet implements Net, PlatformFront.Told {
    /** What was written or closed, each with where to; ends and set-ups by these names. */
    final List<String> done = new ArrayList<>();
    final List<Line> lines = new ArrayList<>();
    /** Ids of the set-ups written. */
    final List<Long> setUps = new ArrayList<>();
    final List<String> said = new ArrayList<>();
    /** Addresses that refuse. */
    final List<String> refusing = new ArrayList<>();
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number)
            : a.at.compareTo(b.at));
    boolean boxesAnswerTests = true;
    /** What a look at the time costs. */
    Span step = new Span(1);
    private Moment now = new Moment(1_000_000_000L);
    private long number;
    private Listener listener;

    private record Timer(Moment at, long number, Runnable deed) {
    }

    final class Line implements Connection {
        final String to;
        private final List<String> held = new ArrayList<>();
        final List<Integer> types = new ArrayList<>();
        private Consumer<byte[]> data;
        private Runnable closed;
        private boolean reading;
        boolean paused;
        boolean over;

        private Line(String to) {
            this.to = to;
        }

        @Override
        public void hears(Consumer<byte[]> d, Runnable c) {
            data = d;
            closed = c;
        }

        @Override
        public void write(byte[] message) {
            String line = new String(message, StandardCharsets.UTF_8);
            types.add((int) message[2]);
            if (line.contains("ECHO") && boxesAnswerTests) {
                String tag = line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1");
                later(() -> comes("{\"verb\":\"ECHOED\",\"tag\":\"" + tag
                        + "\",\"opts\":{\"load\":\"x0:0.2;x1:0.2;outstanding:1\"},\"rc\":1}"));
            }
            if (line.contains("START")) {
                setUps.add(Long.parseLong(line.replaceFirst("(?s).*\"tag\":\"([0-9a-f]{16})\".*", "$1"), 16));
            }
            leave((line.contains("START") ? "set-up " : line.contains("FINISH") ? "end " : line.contains("ECHO") ? "test "
                    : "other ") + to);
        }

        /** As the library does it: what is written or closed while it is being read leaves as the reading ends. */
        private void leave(String what) {
            (reading ? held : done).add(what);
        }

        void comes(byte[] bytes) {
            reading = true;
            data.accept(bytes);
            reading = false;
            done.addAll(held);
            held.clear();
        }

        void comes(String line) {
            comes((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        /** Its other side closes it. */
        void breaks() {
            over = true;
            closed.run();
        }

        @Override
        public boolean isFull() {
            return false;
        }

        @Override
        public void pause() {
            paused = true;
        }

        @Override
        public void resume() {
            paused = false;
        }

        @Override
        public void close() {
            over = true;
            leave("close " + to);
        }

        @Override
        public String peer() {
            return to;
        }
    }

    /** A front with two boxes at ports 3 and 4 that knows these by its configuration. */
    static PaperNet front() throws Exception {
        PaperNet net = new PaperNet();
        var posting = Configuration.read(TryOut.configuration(1, 2, 3, 4).getBytes(StandardCharsets.UTF_8));
        new PlatformFront(posting, net, net).start(failed -> { });
        net.settle();
        return net;
    }

    Line viewers() {
        Line line = new Line("viewer");
        listener.arrived(line);
        return line;
    }

    /** The latest connection to the box of that port. */
    Line box(String at) {
        return lines.stream().filter(l -> l.to.equals(at)).reduce((a, b) -> b).orElseThrow();
    }

    long opened(String at) {
        return lines.stream().filter(l -> l.to.equals(at)).count();
    }

    /** Viewing 7 with its first set-up out; returns the address of its box. */
    String setUpOut() {
        viewers().comes(PlatformViewers.setUp(7, "lesson", 2000, ""));
        settle();
        String first = done.stream().filter(d -> d.startsWith("set-up")).findFirst().orElseThrow();
        done.clear();
        return first.substring("set-up ".length());
    }

    void answers(String at, long id) {
        box(at).comes("{\"verb\":\"STARTED\",\"tag\":\"" + String.format("%016x", id) + "\",\"opts\":{},\"blob\":\"b\"}");
        settle();
    }

    void listSays(byte[] record) {
        lines.get(0).comes(ByteBuffer.allocate(13 + record.length).putInt(9 + record.length).putLong(2).put((byte) 2).put(record)
                .array());
        settle();
    }

    void gone(String at) {
        listSays(PlatformJournal.record(at.endsWith(":3") ? 1 : 2, 3, 2, 0, 0));
    }

    /** One further set-up was made, and only after that. */
    void onlyAfter(String end) {
        List<String> setUps = done.stream().filter(d -> d.startsWith("set-up")).toList();
        assertEquals(1, setUps.size(), done.toString());
        assertTrue(done.contains(end) && done.indexOf(end) < done.indexOf(setUps.get(0)), done.toString());
    }

    private void settle() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    /** Time goes by without the front's running. */
    void standsStill(Span span) {
        now = now.plus(span);
    }

    /** Time goes by, and what is due runs. */
    void pass(Span span) {
        settle();
        Moment until = now.plus(span);
        while (!timers.isEmpty() && !until.before(timers.peek().at)) {
            Timer t = timers.poll();
            now = now.orLater(t.at);
            t.deed.run();
            settle();
        }
        now = now.orLater(until);
    }

    @Override
    public Moment now() {
        now = now.plus(step);
        return now;
    }

    @Override
    public void connect(String address, int mostUnread, Tried then) {
        if (refusing.contains(address)) {
            later(() -> then.failed(true, "refused"));
            return;
        }
        Line line = new Line(address);
        lines.add(line);
        later(() -> then.up(line));
    }

    @Override
    public void listen(String address, int mostUnread, Listener l) {
        listener = l;
    }

    @Override
    public Wake after(Span span, Runnable deed) {
        boolean[] off = {false};
        timers.add(new Timer(now.plus(span), number++, () -> {
            if (!off[0]) {
                deed.run();
            }
        }));
        return () -> off[0] = true;
    }

    @Override
    public void every(Span span, Runnable deed) {
        after(span, () -> {
            deed.run();
            every(span, deed);
        });
    }

    @Override
    public void later(Runnable deed) {
        later.add(deed);
    }

    @Override
    public void warn(String kind, Object about, String detail) {
        said.add(kind);
    }

    @Override
    public void info(String line) {
        said.add(line);
    }

    @Override
    public void over(String failed, RuntimeException cause) {
        throw new AssertionError(failed, cause);
    }
}
