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
import linengauge.carry.Sparse;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.ListFollower;
import linengauge.site.Site;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The box list, followed for ever (docs/protocol/list.md): changes from the revision known, or the
 * whole list. While it cannot be heard the last one stands.
 */
final class ListFeed {
  private static final Logger LOG = LoggerFactory.getLogger(ListFeed.class);

  /** Before all other background work: without its list a front goes by what was. */
  private static final int URGENT = 0;

  /** What opening a stream is thought to take of the desk, until it has been seen. */
  static final Span OPENING = new Span(300);

  private final FrontProgram program;
  private final Site site;
  private final HttpClient client;
  private final Backoff pause;
  private final List<String> kinds = new ArrayList<>();
  private final Sparse sparse = new Sparse(LOG);
  private Stream stream;
  private boolean closed;
  private long breaks;

  ListFeed(Vertx vertx, Site site, long seed, FrontProgram program) {
    this.program = program;
    this.site = site;
    this.client = BoxCalls.client(vertx, site, 1, 1);
    this.pause =
        new Backoff(
            Span.ofMillis(site.list().retryFirstMs()),
            Span.ofMillis(site.list().retryMostMs()),
            new SplittableRandom(seed));
    site.fleet().kinds().forEach(k -> kinds.add(k.name()));
  }

  void open() {
    if (closed) {
      return;
    }
    long from = program.core().listRevision();
    Site.Address at = Site.Address.parse(site.list().address());
    stream =
        new Stream(
            program,
            client,
            new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(at.host())
                .setPort(at.port())
                .setURI(
                    "/boxes"
                        + (from == ListFollower.NONE ? "" : "?since=" + from)
                        + (from == ListFollower.NONE ? "?" : "&")
                        + "front="
                        + site.front().number())
                .setConnectTimeout(site.boxes().connectMs()),
            site.list().lineBytes(),
            Span.ofMillis(site.list().silenceMs()),
            new Stream.Reader() {
              @Override
              public void line(byte[] line) {
                heard(line);
              }

              @Override
              public void over(boolean answered, int status, String why) {
                broke(status, why);
              }
            });
  }

  private void broke(int status, String why) {
    stream = null;
    breaks++;
    sparse.warn("box list broke", site.list().address(), why);
    if (status == 410) {
      program.core().forgetList();
    }
    again();
  }

  private void again() {
    Span after = pause.next();
    if (!program
        .chores()
        .submit(
            "box list",
            URGENT,
            after,
            OPENING,
            () -> {
              if (stream == null) {
                open();
              }
            })) {
      program.wakeAfter(
          after,
          () -> {
            if (stream == null) {
              again();
            }
          });
    }
  }

  private void heard(byte[] line) {
    boolean followed;
    try {
      followed = apply(BoxCalls.line(line));
    } catch (JacksonException | IllegalArgumentException e) {
      // One row that cannot be read spoils the line: half of a change is worse than none.
      sparse.warn("bad box list", site.list().address(), e.getMessage());
      program.core().forgetList();
      followed = false;
    }
    if (followed) {
      pause.reset();
      program.listHeard();
    } else if (stream != null) {
      stream.close();
      stream = null;
      again();
    }
  }

  private boolean apply(JsonNode piece) {
    if (!piece.path("boxes").isArray()) {
      throw new IllegalArgumentException("a line without boxes");
    }
    List<BoxTable.Row> rows = new ArrayList<>();
    for (JsonNode box : piece.path("boxes")) {
      rows.add(row(box));
    }
    if (piece.path("whole").asBoolean()) {
      program.core().listed(whole(piece, "revision"), rows);
      return true;
    }
    return program.core().listChanged(whole(piece, "from"), whole(piece, "to"), rows);
  }

  private static long whole(JsonNode from, String key) {
    JsonNode v = from.path(key);
    if (!v.canConvertToLong() || v.asLong() < 0) {
      throw new IllegalArgumentException("'" + key + "' should be a whole number");
    }
    return v.asLong();
  }

  private BoxTable.Row row(JsonNode box) {
    long id = whole(box, "id");
    BoxTable.State state;
    switch (box.path("state").asText().toLowerCase(Locale.ROOT)) {
      case "serving" -> state = BoxTable.State.SERVING;
      case "draining" -> state = BoxTable.State.DRAINING;
      case "gone" -> {
        return new BoxTable.Row(id, null, 0, 0, 0, BoxTable.State.GONE, 0, Moment.DISTANT_PAST);
      }
      default -> throw new IllegalArgumentException("box " + id + ": unknown state");
    }
    String address = box.path("address").asText();
    int kind = kinds.indexOf(box.path("kind").asText());
    int building = site.buildings().indexOf(box.path("building").asText());
    double weight = box.path("weight").asDouble(1);
    if (id > 0xffffffffL
        || !address.matches("[^\\s:/]+:[0-9]{1,5}")
        || kind < 0
        || building < 0
        || !(weight > 0)
        || weight > 1e6) {
      throw new IllegalArgumentException(
          "box " + id + ": id, address, kind, building or weight is wrong");
    }
    Moment started =
        box.has("startedAt") ? new Moment(whole(box, "startedAt") * 1000) : Moment.DISTANT_PAST;
    return new BoxTable.Row(
        id,
        address,
        weight,
        (int) Math.min(whole(box, "cell"), Integer.MAX_VALUE),
        kind,
        state,
        building,
        started);
  }

  long breaks() {
    return breaks;
  }

  void close() {
    closed = true;
    if (stream != null) {
      stream.close();
    }
    client.close();
  }
}
