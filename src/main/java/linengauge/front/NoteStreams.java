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
import java.util.regex.Pattern;
import linengauge.Span;
import linengauge.carry.Sparse;
import linengauge.carry.Wall;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.Held;
import linengauge.site.Site;
import org.slf4j.LoggerFactory;

/**
 * The note streams of the boxes that this front uses: one a box, opened with the first viewing,
 * kept for a while after the last, taken up again when it breaks. A box that cannot be heard after
 * the tries of the site file, or that has started anew, has lost its viewings. Where the stream
 * breaks and the box refuses the next one, the core hears at once that the box is out of sight: it
 * may come back cold before the list tells of it.
 */
final class NoteStreams {
  private static final Pattern DIGITS = Pattern.compile("[0-9]{1,13}");

  /** Older than this is long ago. */
  private static final long LONGEST_AGE_MS = 1_000_000_000L;

  /** Urgency of streams that failed more than once: after the box list. */
  private static final int RETRIES = 1;

  private final class BoxStream {
    private final BoxTable.Entry entry;

    /** Viewings that play here, by id; each leaves as it ends. */
    private final Map<String, Held> playing = new LinkedHashMap<>();

    private final Backoff pause;
    private LineStream stream;
    private String life;
    private int failures;
    private long usedAt = Wall.micros();
    private boolean closing;

    private BoxStream(BoxTable.Entry entry) {
      this.entry = entry;
      int ms = site.boxes().notesRetryMs();
      this.pause = new Backoff(Span.ofMillis(ms), Span.ofMillis(8L * ms), chance.split());
    }

    private void open() {
      stream =
          new LineStream(
              program,
              client,
              BoxClient.to(
                  entry,
                  HttpMethod.GET,
                  "/notes?front=" + site.front().number(),
                  site.boxes().connectMs()),
              site.boxes().noteBytes(),
              Span.ofMillis(site.boxes().notesSilenceMs()),
              new LineStream.Reader() {
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
      if (failures++ > 0) {
        program.core().lostSight(entry);
      }
      if (failures >= site.boxes().notesTries()) {
        log.warn("box lost", entry.toString(), why);
        lose();
        leave();
      } else {
        if (failures == 1) {
          // At once, and no background work: a box that restarts is found out before the next
          // set-up goes there.
          program.wakeAfter(Span.NONE, this::openAgain);
        } else {
          tryLater();
        }
      }
    }

    private void tryLater() {
      Span after = pause.next();
      if (!program
          .chores()
          .submit("notes of " + entry, RETRIES, after, DiscoveryClient.OPENING, this::openAgain)) {
        program.wakeAfter(
            after,
            () -> {
              if (stream == null && boxes.get(entry) == this) {
                tryLater();
              }
            });
      }
    }

    private void openAgain() {
      if (stream == null && boxes.get(entry) == this) {
        open();
      }
    }

    private void lose() {
      for (Held vw : List.copyOf(playing.values())) {
        vw.boxLost();
      }
      playing.clear();
      closeWhenUnused();
    }

    private void closeWhenUnused() {
      if (!playing.isEmpty() || closing) {
        return;
      }
      closing = true;
      Span linger = Span.ofMillis(site.boxes().notesLingerMs());
      program.wakeAfter(
          linger,
          () -> {
            closing = false;
            if (playing.isEmpty() && !new Span(Wall.micros() - usedAt).under(linger)) {
              leave();
            } else {
              closeWhenUnused();
            }
          });
    }

    private void leave() {
      boxes.remove(entry, this);
      if (stream != null) {
        stream.close();
        stream = null;
      }
    }

    /**
     * The box has told its life and age; a life not known before is a new start, with nothing of
     * the earlier one.
     */
    private void lives(String told, Span age) {
      boolean anew = told != null && life != null && !life.equals(told);
      life = told == null ? life : told;
      if (age != null) {
        program.core().ageTold(entry, age);
      }
      if (anew) {
        lose();
      }
    }

    private void heard(byte[] line) {
      JsonNode note;
      try {
        note = BoxClient.line(line);
      } catch (JacksonException e) {
        log.warn("bad note", entry.toString(), "not JSON");
        return;
      }
      lives(
          note.path("life").asText(null),
          note.path("ageMs").canConvertToLong() && note.path("ageMs").asLong() >= 0
              ? Span.ofMillis(Math.min(note.path("ageMs").asLong(), LONGEST_AGE_MS))
              : null);
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

  private final FrontServer program;
  private final Site site;
  private final HttpClient client;
  private final SplittableRandom chance;
  private final Sparse log = new Sparse(LoggerFactory.getLogger(NoteStreams.class));
  private final Map<BoxTable.Entry, BoxStream> boxes = new LinkedHashMap<>();

  NoteStreams(Vertx vertx, Site site, long seed, FrontServer program) {
    this.program = program;
    this.site = site;
    this.chance = new SplittableRandom(seed);
    this.client = BoxClient.client(vertx, site, 2, 4);
  }

  /** A viewing plays at a box. */
  void playing(Held vw, BoxTable.Entry entry) {
    BoxStream b = boxes.computeIfAbsent(entry, BoxStream::new);
    b.usedAt = Wall.micros();
    b.playing.put(vw.id(), vw);
    if (b.stream == null && b.failures == 0) {
      b.open();
    }
  }

  /** A viewing no longer plays at a box. */
  void over(Held vw, BoxTable.Entry entry) {
    BoxStream b = boxes.get(entry);
    if (b != null && b.playing.remove(vw.id()) != null) {
      b.usedAt = Wall.micros();
      b.closeWhenUnused();
    }
  }

  /** An answer of a box has told its life and age, or neither. */
  void lifeTold(BoxTable.Entry entry, String life, String ageMs) {
    Span age =
        ageMs != null && DIGITS.matcher(ageMs).matches()
            ? Span.ofMillis(Math.min(Long.parseLong(ageMs), LONGEST_AGE_MS))
            : null;
    BoxStream b = boxes.get(entry);
    if (b != null) {
      b.lives(life, age);
    } else if (age != null) {
      program.core().ageTold(entry, age);
    }
  }

  /** Streams to boxes where something plays. */
  int inUse() {
    return (int) boxes.values().stream().filter(b -> !b.playing.isEmpty()).count();
  }

  int open() {
    return boxes.size();
  }

  void close() {
    List.copyOf(boxes.values()).forEach(BoxStream::leave);
    client.close();
  }
}
