package linengauge.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.List;
import linengauge.Span;
import linengauge.platform.PaperNet.Line;
import linengauge.standin.PlatformViewers;
import org.junit.jupiter.api.Test;

/** What a front writes and closes, in the order in which it does so, and when. */
class PlatformFrontTest {
    private static final int BLOCKED = 12;

    /** A set-up is out until its connection is closed: made elsewhere before, it would be a second one. */
    @Test
    void theConnectionToABoxThatHasGoneIsClosedBeforeItsSetUpsAreMadeElsewhere() throws Exception {
        PaperNet net = PaperNet.front();
        String at = net.setUpOut();
        net.gone(at);
        net.onlyAfter("close " + at);
    }

    @Test
    void anAnswerThatCameTooLateIsTakenBackBeforeTheNextSetUpLeaves() throws Exception {
        PaperNet net = PaperNet.front();
        String at = net.setUpOut();
        net.standsStill(Span.ofMillis(600));
        net.answers(at, 7);
        net.onlyAfter("end " + at);
    }

    @Test
    void aConnectionThatSaysWhatCannotBeReadIsClosedBeforeItsSetUpsAreMadeElsewhere() throws Exception {
        PaperNet net = PaperNet.front();
        String at = net.setUpOut();
        net.box(at).comes("no such thing");
        net.pass(Span.ofMillis(1));
        net.onlyAfter("close " + at);
    }

    @Test
    void aBoxWhoseTableIsFullIsNotTakenForDeadWhileAConnectionToItIsUp() throws Exception {
        PaperNet net = PaperNet.front();
        String at = net.setUpOut();
        net.answers(at, 7);
        net.refusing.add(at);
        net.pass(Span.ofMillis(6000)); // tested in silence, then a connection is tried
        assertFalse(net.said.contains("box lost"), net.said.toString());
        net.box(at).breaks();
        net.pass(Span.ofMillis(500));
        assertTrue(net.said.contains("box lost"), "nothing else is up, and nothing listens");
    }

    @Test
    void aSilentBoxIsTestedOnTheConnectionThatItHas() throws Exception {
        PaperNet net = PaperNet.front();
        String at = net.setUpOut();
        net.answers(at, 7);
        long before = net.opened(at);
        for (int i = 0; i < 4; i++) {
            net.done.clear();
            net.pass(Span.ofMillis(5300));
            assertEquals(1, net.done.stream().filter(("test " + at)::equals).count(), net.done.toString());
            net.box(at).comes("{\"verb\":\"ECHOED\",\"tag\":\"00000000000000ff\",\"opts\":{},\"rc\":1}");
        }
        assertEquals(before, net.opened(at), "no connection for silence that a test has broken");
    }

    private static byte[] many(int from, int to, long leftMs) {
        var all = new ByteArrayOutputStream();
        for (int id = from; id < to; id++) {
            all.writeBytes(PlatformViewers.setUp(id, "lesson", leftMs, ""));
        }
        return all.toByteArray();
    }

    /** A piece of hundreds made everybody wait for all of it. */
    @Test
    void aPieceOfHundredsIsReadInTurnsAndOthersAreReadBetween() throws Exception {
        PaperNet net = PaperNet.front();
        net.step = Span.ofMillis(1);
        Line many = net.viewers();
        Line one = net.viewers();
        long begun = net.now().micros();
        many.comes(many(100, 300, 20_000));
        long turn = net.now().micros() - begun;
        assertTrue(turn < 25_000, turn + " us in one turn");
        assertTrue(many.paused, "nothing more is taken meanwhile");
        one.comes(PlatformViewers.message(52, 1, 61, new byte[] {0}));
        assertEquals(List.of(53), one.types, "tested in between");
        assertTrue(many.types.size() < 100);
        net.pass(Span.ofSeconds(15));
        assertEquals(200, many.types.size(), "each is answered in the end");
        assertFalse(many.paused);
    }

    /** Lying unread counts: while a long piece is read, and on a connection that was paused for it. */
    @Test
    void whatHasLainPastItsViewersPatienceIsTurnedAwayAndSentToNobody() throws Exception {
        PaperNet net = PaperNet.front();
        net.step = Span.ofMillis(1);
        Line many = net.viewers();
        many.comes(many(100, 300, 400));
        net.pass(Span.ofSeconds(1.2));
        many.comes(many(300, 301, 400));
        net.pass(Span.ofSeconds(2));
        assertEquals(201, many.types.size());
        assertTrue(many.types.stream().filter(t -> t == BLOCKED).count() > 100, many.types.toString());
        assertEquals(BLOCKED, many.types.get(200), "what came while it was paused may have lain since");
    }

    @Test
    void aConnectionTakenAfterAStandStillHasLainAsLong() throws Exception {
        PaperNet net = PaperNet.front();
        net.pass(Span.ofSeconds(1));
        net.standsStill(Span.ofMillis(900));
        Line late = net.viewers(); // taken in the turn after the stand-still, and read one turn and a beat later
        net.pass(Span.ofMillis(1));
        net.pass(Span.ofMillis(1));
        late.comes(PlatformViewers.setUp(9, "lesson", 800, ""));
        assertEquals(List.of(BLOCKED), late.types, "its viewer may have gone");
        net.pass(Span.ofSeconds(1));
        Line soon = net.viewers();
        soon.comes(PlatformViewers.setUp(10, "lesson", 800, ""));
        assertEquals(List.of(), soon.types, "set up, or asked about");
    }
}
