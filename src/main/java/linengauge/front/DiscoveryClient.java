package linengauge.front;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.net.RateLimitedLog;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.DiscoveryCache;
import linengauge.site.Site;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the discovery service (docs/protocol/list.md): changes since the known revision, or the
 * whole list of boxes. While the service is unreachable the last list remains in force.
 */
final class DiscoveryClient {
  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

  /** Before all other background jobs: without discovery a front works with outdated data. */
  private static final int URGENCY = 0;

  /** Estimated time on the session loop for opening a stream: 300 microseconds. */
  static final Span ESTIMATED_OPEN_TIME = new Span(300);

  /**
   * The wait for a first byte doubles with each request that is not answered, up to this multiple
   * of the limit for silence: a service that is slower than the limit would never be heard
   * otherwise.
   */
  private static final int MAX_ANSWER_WAIT_FACTOR = 8;

  private final FrontServer front;
  private final Site site;
  private final HttpClient client;
  private final Backoff backoff;
  private final List<String> kindNames = new ArrayList<>();
  private final RateLimitedLog throttledLog = new RateLimitedLog(LOG);

  /** How long the first byte of the next stream may take. */
  private Span answerWait;

  private LineStream stream;
  private boolean closed;
  private long disconnects;

  DiscoveryClient(Vertx vertx, Site site, long seed, FrontServer front) {
    this.front = front;
    this.site = site;
    this.answerWait = maxSilence();
    this.client = BoxClient.newClient(vertx, site, 1, 1);
    this.backoff =
        new Backoff(
            Span.ofMillis(site.list().retryFirstMs()),
            Span.ofMillis(site.list().retryMostMs()),
            new SplittableRandom(seed));
    site.fleet().kinds().forEach(kind -> kindNames.add(kind.name()));
  }

  void open() {
    if (closed) {
      return;
    }
    long revision = front.sessionManager().discoveryRevision();
    Site.Address address = Site.Address.parse(site.list().address());
    stream =
        new LineStream(
            front,
            client,
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(
                    "/boxes"
                        + (revision == DiscoveryCache.NO_REVISION ? "" : "?since=" + revision)
                        + (revision == DiscoveryCache.NO_REVISION ? "?" : "&")
                        + "front="
                        + site.front().number())
                .setConnectTimeout(site.boxes().connectMs()),
            site.list().lineBytes(),
            answerWait,
            maxSilence(),
            new LineStream.Reader() {
              @Override
              public void onLine(byte[] line) {
                readLine(line);
              }

              @Override
              public void onEnd(boolean lineReceived, int status, String reason) {
                streamEnded(status, reason);
              }
            });
  }

  private Span maxSilence() {
    return Span.ofMillis(site.list().silenceMs());
  }

  private void streamEnded(int status, String reason) {
    if (status == 0 && stream != null && stream.isUnanswered()) {
      answerWait = answerWait.times(2).min(maxSilence().times(MAX_ANSWER_WAIT_FACTOR));
    }
    stream = null;
    disconnects++;
    throttledLog.warn("discovery stream ended", site.list().address(), reason);
    if (status == 410) {
      front.sessionManager().resetDiscovery();
    }
    scheduleReopen();
  }

  private void scheduleReopen() {
    Span delay = backoff.nextDelay();
    if (!front
        .backgroundJobs()
        .submit(
            "box list",
            URGENCY,
            delay,
            ESTIMATED_OPEN_TIME,
            () -> {
              if (stream == null) {
                open();
              }
            })) {
      front.schedule(
          delay,
          () -> {
            if (stream == null) {
              scheduleReopen();
            }
          });
    }
  }

  private void readLine(byte[] line) {
    boolean applied;
    try {
      applied = apply(BoxClient.parseLine(line));
    } catch (JacksonException | IllegalArgumentException e) {
      // One invalid row invalidates the line: half of a change is worse than none.
      throttledLog.warn("invalid discovery message", site.list().address(), e.getMessage());
      front.sessionManager().resetDiscovery();
      applied = false;
    }
    if (applied) {
      backoff.reset();
      answerWait = maxSilence();
      front.discoveryUpdated();
    } else if (stream != null) {
      stream.close();
      stream = null;
      scheduleReopen();
    }
  }

  private boolean apply(JsonNode message) {
    if (!message.path("boxes").isArray()) {
      throw new IllegalArgumentException("line without an array of boxes");
    }
    List<BoxTable.ListedBox> rows = new ArrayList<>();
    for (JsonNode box : message.path("boxes")) {
      rows.add(parseRow(box));
    }
    if (message.path("whole").asBoolean()) {
      front.sessionManager().applyDiscovery(wholeNumber(message, "revision"), rows);
      return true;
    }
    return front
        .sessionManager()
        .applyDiscoveryChanges(wholeNumber(message, "from"), wholeNumber(message, "to"), rows);
  }

  private static long wholeNumber(JsonNode object, String key) {
    JsonNode value = object.path(key);
    if (!value.canConvertToLong() || value.asLong() < 0) {
      throw new IllegalArgumentException("'" + key + "' must be a whole number");
    }
    return value.asLong();
  }

  private BoxTable.ListedBox parseRow(JsonNode box) {
    long id = wholeNumber(box, "id");
    BoxTable.State state;
    switch (box.path("state").asText().toLowerCase(Locale.ROOT)) {
      case "serving" -> state = BoxTable.State.SERVING;
      case "draining" -> state = BoxTable.State.DRAINING;
      case "gone" -> {
        return new BoxTable.ListedBox(
            id, null, 0, 0, 0, BoxTable.State.GONE, 0, Moment.DISTANT_PAST);
      }
      default -> throw new IllegalArgumentException("box " + id + ": unknown state");
    }
    String address = box.path("address").asText();
    int kind = kindNames.indexOf(box.path("kind").asText());
    int building = site.buildings().indexOf(box.path("building").asText());
    double weight = box.path("weight").asDouble(1);
    if (id > 0xffffffffL
        || !address.matches("[^\\s:/]+:[0-9]{1,5}")
        || kind < 0
        || building < 0
        || !(weight > 0)
        || weight > 1e6) {
      throw new IllegalArgumentException(
          "box " + id + ": id, address, kind, building or weight is invalid");
    }
    Moment started =
        box.has("startedAt")
            ? new Moment(wholeNumber(box, "startedAt") * 1000)
            : Moment.DISTANT_PAST;
    return new BoxTable.ListedBox(
        id,
        address,
        weight,
        (int) Math.min(wholeNumber(box, "cell"), Integer.MAX_VALUE),
        kind,
        state,
        building,
        started);
  }

  long disconnects() {
    return disconnects;
  }

  void close() {
    closed = true;
    if (stream != null) {
      stream.close();
    }
    client.close();
  }
}
