package linengauge.front;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.Span;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.Held;
import linengauge.site.Site;
import org.slf4j.LoggerFactory;

/**
 * The note streams of the boxes with viewings of this front: one a box, opened with the first viewing, closed with the
 * last, taken up again when it breaks. A box that cannot be heard after the tries of the site file, or that has started
 * anew, has lost its viewings.
 */
final class Notes {
    private final class Box {
        private final BoxTable.Entry entry;
        /** Viewings that play here, by id; each leaves as it ends. */
        private final Map<String, Held> playing = new LinkedHashMap<>();
        private final Backoff pause;
        private Stream stream;
        private String life;
        private int failures;

        private Box(BoxTable.Entry entry) {
            this.entry = entry;
            int ms = site.boxes().notesRetryMs();
            this.pause = new Backoff(Span.ofMillis(ms), Span.ofMillis(8L * ms), chance.split());
        }

        private void open() {
            stream = new Stream(program, client, BoxCalls.to(entry, HttpMethod.GET,
                    "/notes?front=" + site.front().number(), site.boxes().connectMs()), site.boxes().noteBytes(),
                    Span.ofMillis(site.boxes().notesSilenceMs()), new Stream.Reader() {
                        @Override
                        public void line(byte[] line) {
                            failures = 0;
                            pause.reset();
                            heard(line);
                        }

                        @Override
                        public void over(boolean answered, int status, String why) {
                            stream = null;
                            broke(why);
                        }
                    });
        }

        private void broke(String why) {
            if (playing.isEmpty()) {
                return;
            }
            if (++failures >= site.boxes().notesTries()) {
                log.warn("box lost", entry.toString(), why);
                lose();
            } else {
                program.wakeAfter(pause.next(), () -> {
                    if (stream == null && !playing.isEmpty()) {
                        open();
                    }
                });
            }
        }

        private void lose() {
            for (Held vw : List.copyOf(playing.values())) {
                vw.boxLost();
            }
            playing.clear();
            closeIfEmpty();
        }

        private void closeIfEmpty() {
            if (playing.isEmpty()) {
                boxes.remove(entry, this);
                if (stream != null) {
                    stream.close();
                    stream = null;
                }
            }
        }

        private void heard(byte[] line) {
            JsonNode note;
            try {
                note = BoxCalls.line(line);
            } catch (JacksonException e) {
                log.warn("bad note", entry.toString(), "not JSON");
                return;
            }
            String lives = note.path("life").asText(null);
            if (lives != null) {
                if (life != null && !life.equals(lives)) {
                    life = lives;
                    lose();
                    return;
                }
                life = lives;
            }
            Held gone = note.has("ended") ? playing.get(note.path("ended").asText()) : null;
            if (gone != null) {
                gone.boxLost();
            }
            if (playing.isEmpty()) {
                return;
            }
            Held one = playing.values().iterator().next();
            if (note.path("share").isNumber()) {
                double share = note.path("share").asDouble();
                if (share >= 0 && share <= 1) {
                    one.shareDelivered(share);
                }
            }
            double link = told(note.path("link"));
            double uplink = told(note.path("uplink"));
            if (!Double.isNaN(link) || !Double.isNaN(uplink)) {
                one.loadsTold(link, uplink);
            }
        }

        private double told(JsonNode figure) {
            double v = figure.isNumber() ? figure.asDouble() : Double.NaN;
            return v >= 0 && v < 1000 ? v : Double.NaN;
        }
    }

    private final FrontProgram program;
    private final Site site;
    private final HttpClient client;
    private final SplittableRandom chance;
    private final Sparse log = new Sparse(LoggerFactory.getLogger(Notes.class));
    private final Map<BoxTable.Entry, Box> boxes = new LinkedHashMap<>();

    Notes(Vertx vertx, Site site, long seed, FrontProgram program) {
        this.program = program;
        this.site = site;
        this.chance = new SplittableRandom(seed);
        this.client = BoxCalls.client(vertx, site, 2, 4);
    }

    /** A viewing plays at a box; `life` is the box's, as its answer told. */
    void playing(Held vw, BoxTable.Entry entry, String life) {
        Box b = boxes.computeIfAbsent(entry, Box::new);
        if (life != null && b.life != null && !b.life.equals(life)) {
            b.lose(); // what played there before its new start
            b = boxes.computeIfAbsent(entry, Box::new);
        }
        b.life = life == null ? b.life : life;
        b.playing.put(vw.id(), vw);
        if (b.stream == null && b.failures == 0) {
            b.open();
        }
    }

    /** A viewing no longer plays at a box. */
    void over(Held vw, BoxTable.Entry entry) {
        Box b = boxes.get(entry);
        if (b != null && b.playing.remove(vw.id()) != null) {
            b.closeIfEmpty();
        }
    }

    int open() {
        return boxes.size();
    }

    void close() {
        client.close();
    }
}
