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
import linengauge.net.RateLimitedLog;
import linengauge.net.WallClock;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.Session;
import linengauge.site.Site;
import org.slf4j.LoggerFactory;

/**
 * Note streams of the boxes that this front uses: one for each box, opened with the first viewing,
 * kept for a while after the last, and reopened when it breaks. A box that stays unreachable for
 * the tries of the site file, or that has restarted, has lost its viewings. Where the stream breaks
 * and the box refuses the next one, the session manager is notified at once that the box is
 * unreachable: it may return cold before discovery reports it.
 */
final class NoteStreams {
  private static final Pattern DIGITS = Pattern.compile("[0-9]{1,13}");

  /** Greater reported ages are cut to this limit, as an older start makes no difference. */
  private static final long MAX_AGE_MS = 1_000_000_000L;

  /** Urgency of streams that failed more than once: after discovery. */
  private static final int RETRY_URGENCY = 1;

  /** The note stream of one box. */
  private final class BoxStream {
    private final BoxTable.Entry box;

    /** Viewings that play at the box, by id; each is removed as it ends. */
    private final Map<String, Session> playing = new LinkedHashMap<>();

    private final Backoff backoff;
    private LineStream stream;

    /** The life identifier last reported by the box; null where there is none yet. */
    private String life;

    private int failures;
    private long lastUsedMicros = WallClock.micros();
    private boolean closeScheduled;

    private BoxStream(BoxTable.Entry box) {
      this.box = box;
      int retryMs = site.boxes().notesRetryMs();
      this.backoff =
          new Backoff(Span.ofMillis(retryMs), Span.ofMillis(8L * retryMs), random.split());
    }

    private void open() {
      stream =
          new LineStream(
              front,
              client,
              BoxClient.requestTo(
                  box,
                  HttpMethod.GET,
                  "/notes?front=" + site.front().number(),
                  site.boxes().connectMs()),
              site.boxes().noteBytes(),
              Span.ofMillis(site.boxes().notesSilenceMs()),
              Span.ofMillis(site.boxes().notesSilenceMs()),
              new LineStream.Reader() {
                @Override
                public void onLine(byte[] line) {
                  failures = 0;
                  backoff.reset();
                  onNote(line);
                }

                @Override
                public void onEnd(boolean lineReceived, int status, String reason) {
                  stream = null;
                  streamEnded(reason);
                }
              });
    }

    private void streamEnded(String reason) {
      if (failures++ > 0) {
        front.sessionManager().contactLost(box);
      }
      if (failures >= site.boxes().notesTries()) {
        log.warn("box unreachable, its viewings are lost", box.toString(), reason);
        loseViewings();
        close();
      } else {
        if (failures == 1) {
          // At once and not as a background job, so that a restart is detected before the next
          // set-up goes to the box.
          front.schedule(Span.NONE, this::reopen);
        } else {
          scheduleReopen();
        }
      }
    }

    private void scheduleReopen() {
      Span delay = backoff.nextDelay();
      if (!front
          .backgroundJobs()
          .submit(
              "notes of " + box,
              RETRY_URGENCY,
              delay,
              DiscoveryClient.ESTIMATED_OPEN_TIME,
              this::reopen)) {
        front.schedule(
            delay,
            () -> {
              if (stream == null && streams.get(box) == this) {
                scheduleReopen();
              }
            });
      }
    }

    private void reopen() {
      if (stream == null && streams.get(box) == this) {
        open();
      }
    }

    private void loseViewings() {
      for (Session viewing : List.copyOf(playing.values())) {
        viewing.boxLost();
      }
      playing.clear();
      closeWhenUnused();
    }

    private void closeWhenUnused() {
      if (!playing.isEmpty() || closeScheduled) {
        return;
      }
      closeScheduled = true;
      Span linger = Span.ofMillis(site.boxes().notesLingerMs());
      front.schedule(
          linger,
          () -> {
            closeScheduled = false;
            if (playing.isEmpty()
                && !new Span(WallClock.micros() - lastUsedMicros).isShorterThan(linger)) {
              close();
            } else {
              closeWhenUnused();
            }
          });
    }

    private void close() {
      streams.remove(box, this);
      if (stream != null) {
        stream.close();
        stream = null;
      }
    }

    /**
     * Records the life identifier and the age that the box reported. A new identifier means that
     * the box has restarted and has nothing of its earlier life.
     */
    private void updateLife(String reportedLife, Span age) {
      boolean restarted = reportedLife != null && life != null && !life.equals(reportedLife);
      life = reportedLife == null ? life : reportedLife;
      if (age != null) {
        front.sessionManager().ageReported(box, age);
      }
      if (restarted) {
        loseViewings();
      }
    }

    private void onNote(byte[] line) {
      JsonNode note;
      try {
        note = BoxClient.parseLine(line);
      } catch (JacksonException e) {
        log.warn("invalid note", box.toString(), "not JSON");
        return;
      }
      updateLife(
          note.path("life").asText(null),
          note.path("ageMs").canConvertToLong() && note.path("ageMs").asLong() >= 0
              ? Span.ofMillis(Math.min(note.path("ageMs").asLong(), MAX_AGE_MS))
              : null);
      Session endedViewing = note.has("ended") ? playing.get(note.path("ended").asText()) : null;
      if (endedViewing != null) {
        endedViewing.boxLost();
      }
      if (playing.isEmpty()) {
        return;
      }
      Session anyViewing = playing.values().iterator().next();
      if (note.path("share").isNumber()) {
        double share = note.path("share").asDouble();
        if (share >= 0 && share <= 1) {
          anyViewing.deliveredShareReported(share);
        }
      }
      double link = loadValue(note.path("link"));
      double uplink = loadValue(note.path("uplink"));
      if (!Double.isNaN(link) || !Double.isNaN(uplink)) {
        anyViewing.loadsReported(link, uplink);
      }
    }

    private double loadValue(JsonNode node) {
      double value = node.isNumber() ? node.asDouble() : Double.NaN;
      return value >= 0 && value < 1000 ? value : Double.NaN;
    }
  }

  private final FrontServer front;
  private final Site site;
  private final HttpClient client;
  private final SplittableRandom random;
  private final RateLimitedLog log = new RateLimitedLog(LoggerFactory.getLogger(NoteStreams.class));
  private final Map<BoxTable.Entry, BoxStream> streams = new LinkedHashMap<>();

  NoteStreams(Vertx vertx, Site site, long seed, FrontServer front) {
    this.front = front;
    this.site = site;
    this.random = new SplittableRandom(seed);
    this.client = BoxClient.newClient(vertx, site, 2, 4);
  }

  /** Records that a viewing plays at a box. */
  void viewingStarted(Session viewing, BoxTable.Entry box) {
    BoxStream boxStream = streams.computeIfAbsent(box, BoxStream::new);
    boxStream.lastUsedMicros = WallClock.micros();
    boxStream.playing.put(viewing.id(), viewing);
    if (boxStream.stream == null && boxStream.failures == 0) {
      boxStream.open();
    }
  }

  /** Records that a viewing no longer plays at a box. */
  void viewingEnded(Session viewing, BoxTable.Entry box) {
    BoxStream boxStream = streams.get(box);
    if (boxStream != null && boxStream.playing.remove(viewing.id()) != null) {
      boxStream.lastUsedMicros = WallClock.micros();
      boxStream.closeWhenUnused();
    }
  }

  /** Records the life identifier and the age from a response of a box; both may be null. */
  void reportLife(BoxTable.Entry box, String life, String ageMs) {
    Span age =
        ageMs != null && DIGITS.matcher(ageMs).matches()
            ? Span.ofMillis(Math.min(Long.parseLong(ageMs), MAX_AGE_MS))
            : null;
    BoxStream boxStream = streams.get(box);
    if (boxStream != null) {
      boxStream.updateLife(life, age);
    } else if (age != null) {
      front.sessionManager().ageReported(box, age);
    }
  }

  /** Number of streams to boxes at which a viewing plays. */
  int streamsInUse() {
    return (int)
        streams.values().stream().filter(boxStream -> !boxStream.playing.isEmpty()).count();
  }

  int openStreams() {
    return streams.size();
  }

  void close() {
    List.copyOf(streams.values()).forEach(BoxStream::close);
    client.close();
  }
}
