package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.session.Carrier.Wake;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/** What is written and closed, in the order in which the front does it. */
class CloseOrderTest {
    private final List<String> done = new ArrayList<>();
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    private final List<Line> lines = new ArrayList<>();
    private Net.Listener listener;
    private long micros = 1_000_000_000L;

    private final class Line implements Net.Connection {
        private final String to;
        private final List<String> held = new ArrayList<>();
        private Consumer<byte[]> data;
        private boolean reading;

        private Line(String to) {
            this.to = to;
        }

        @Override
        public void hears(Consumer<byte[]> d, Runnable closed) {
            data = d;
        }

        @Override
        public void write(byte[] message) {
            String line = new String(message, StandardCharsets.UTF_8);
            leave((line.contains("START") ? "set-up " : line.contains("FINISH") ? "end " : "other ") + to);
        }

        /** As the library does it: what is written or closed while it is being read leaves as the reading ends. */
        private void leave(String what) {
            (reading ? held : done).add(what);
        }

        private void comes(byte[] bytes) {
            reading = true;
            data.accept(bytes);
            reading = false;
            done.addAll(held);
            held.clear();
        }

        private void comes(String line) {
            comes((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public boolean isFull() {
            return false;
        }

        @Override
        public void pause() {
            // reads on
        }

        @Override
        public void resume() {
            // reads on
        }

        @Override
        public void close() {
            leave("close " + to);
        }

        @Override
        public String peer() {
            return to;
        }
    }

    private final class Recorder implements Net {
        @Override
        public Moment now() {
            return new Moment(micros++);
        }

        @Override
        public void connect(String address, int mostUnread, Tried then) {
            Line line = new Line(address);
            lines.add(line);
            later(() -> then.up(line));
        }

        @Override
        public void listen(String address, int mostUnread, Listener l) {
            listener = l;
        }

        @Override
        public Wake after(Span span, Runnable step) {
            return () -> { };
        }

        @Override
        public void every(Span span, Runnable step) {
            // time stands still
        }

        @Override
        public void later(Runnable step) {
            later.add(step);
        }
    }

    private void settle() {
        while (!later.isEmpty()) {
            later.poll().run();
        }
    }

    /** A viewing with its first set-up out; returns the address of its box. */
    private String setUpOut() throws Exception {
        var posting = Posting.read(TryOut.configuration(1, 2, 3, 4).getBytes(StandardCharsets.UTF_8));
        var front = new PlatformFront(posting, new Recorder(), new PlatformFront.Told() {
            @Override
            public void warn(String kind, Object about, String detail) {
                // not looked at
            }

            @Override
            public void info(String line) {
                // nor this
            }

            @Override
            public void over(String failed, RuntimeException cause) {
                throw new AssertionError(failed, cause);
            }
        });
        front.start(failed -> { });
        settle();
        Line viewer = new Line("viewer");
        listener.arrived(viewer);
        viewer.comes(PlatformViewers.setUp(7, "lesson", 2000, ""));
        settle();
        // Probes were asked first: they are answered, and the viewing is set up.
        for (Line box : List.copyOf(lines).subList(1, lines.size())) {
            for (int test = 1; test <= 3; test++) {
                box.comes("{\"verb\":\"ECHOED\",\"tag\":\"" + String.format("%016x", test)
                        + "\",\"opts\":{\"load\":\"x0:0.2;x1:0.2;outstanding:1\"},\"rc\":1}");
            }
        }
        settle();
        String first = done.stream().filter(d -> d.startsWith("set-up")).findFirst().orElseThrow();
        done.clear();
        return first.substring("set-up ".length());
    }

    private void onlyAfter(String end) {
        List<String> setUps = done.stream().filter(d -> d.startsWith("set-up")).toList();
        assertEquals(1, setUps.size(), done.toString());
        assertTrue(done.contains(end) && done.indexOf(end) < done.indexOf(setUps.get(0)), done.toString());
    }

    private Line box(String at) {
        return lines.stream().filter(l -> l.to.equals(at)).findFirst().orElseThrow();
    }

    /** A set-up is out until its connection is closed: made elsewhere before, it would be a second one. */
    @Test
    void theConnectionToABoxThatHasGoneIsClosedBeforeItsSetUpsAreMadeElsewhere() throws Exception {
        String at = setUpOut();
        byte[] gone = PlatformJournal.record(at.endsWith(":3") ? 1 : 2, 3, 2, 0, 0);
        lines.get(0).comes(ByteBuffer.allocate(13 + gone.length).putInt(9 + gone.length).putLong(2).put((byte) 2).put(gone).array());
        settle();
        onlyAfter("close " + at);
    }

    @Test
    void anAnswerThatCameTooLateIsTakenBackBeforeTheNextSetUpLeaves() throws Exception {
        String at = setUpOut();
        micros += 600_000;
        box(at).comes("{\"verb\":\"STARTED\",\"tag\":\"" + String.format("%016x", 7) + "\",\"opts\":{},\"blob\":\"b\"}");
        settle();
        onlyAfter("end " + at);
    }

    @Test
    void aConnectionThatSaysWhatCannotBeReadIsClosedBeforeItsSetUpsAreMadeElsewhere() throws Exception {
        String at = setUpOut();
        box(at).comes("no such thing");
        settle();
        onlyAfter("close " + at);
    }
}
