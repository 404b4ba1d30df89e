package linengauge.front;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import linengauge.Outside.Ending;
import linengauge.Span;
import linengauge.carry.Sparse;
import linengauge.hls.MalformedPlaylistException;
import linengauge.hls.Paths;
import linengauge.hls.Playlists;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.Carrier;
import linengauge.session.Held;
import linengauge.site.Site;
import org.slf4j.LoggerFactory;

/**
 * Calls to media boxes, as docs/protocol/box.md says. They are kept on the desk and carried on a
 * loop of their own, so that reading and writing them does not take the desk's time. It tells a
 * set-up that provably never ran (no connection, an explicit refusal) from one that may have, and
 * decides nothing else.
 */
final class BoxCalls {
  static final ObjectMapper JSON = new ObjectMapper();

  /**
   * The library reads no more at once unless told; to tell it would also bound the system's buffer,
   * for nothing.
   */
  private static final int LARGEST_READ = 65_536;

  /** A set-up that is out. */
  private static final class Out {
    private final BoxTable.Entry box;
    private final int tuneIn;

    /** Of the viewing's addresses, as its viewer is to have them. */
    private final String base;

    private HttpClientRequest request;
    private boolean sent;
    private boolean over;

    private Out(BoxTable.Entry box, int tuneIn, String base) {
      this.box = box;
      this.tuneIn = tuneIn;
      this.base = base;
    }
  }

  private boolean closed;
  private final Site site;
  private final FrontProgram program;
  private final HttpClient setUps;
  private final HttpClient others;
  private final SplittableRandom chance;
  private final Sparse log = new Sparse(LoggerFactory.getLogger(BoxCalls.class));

  /** Set-ups out; each leaves with its outcome or when it is withdrawn. */
  private final Map<Held, Out> out = new HashMap<>();

  /**
   * Rungs being told, one call a viewing; each leaves when the box has the latest or the tries are
   * used up.
   */
  private final Map<Held, Integer> rungs = new HashMap<>();

  /** Ends that boxes are still to hear of; bounded by the site file. */
  private int ends;

  private long endsGivenUp;

  BoxCalls(Vertx calls, Site site, long seed, FrontProgram program) {
    this.site = site;
    this.program = program;
    this.chance = new SplittableRandom(seed);
    this.setUps = client(calls, site, site.boxes().connections(), site.boxes().waitingSetUps());
    this.others = client(calls, site, site.boxes().connections(), site.boxes().waitingEnds());
  }

  static HttpClient client(Vertx vertx, Site site, int connections, int waiting) {
    return client(vertx, site, connections, waiting, HttpClientOptions.DEFAULT_RECEIVE_BUFFER_SIZE);
  }

  static HttpClient client(Vertx vertx, Site site, int connections, int waiting, int readBytes) {
    return vertx.createHttpClient(
        new HttpClientOptions()
            .setReceiveBufferSize(
                readBytes < LARGEST_READ
                    ? readBytes
                    : HttpClientOptions.DEFAULT_RECEIVE_BUFFER_SIZE)
            .setConnectTimeout(site.boxes().connectMs())
            .setKeepAliveTimeout(Math.max(1, site.boxes().keepAliveMs() / 1000))
            .setTcpNoDelay(true)
            .setMaxHeaderSize(site.viewers().headerBytes())
            .setDecoderInitialBufferSize(256),
        new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(waiting));
  }

  static RequestOptions to(BoxTable.Entry box, HttpMethod method, String uri, int connectMs) {
    Site.Address at = Site.Address.parse(box.address());
    return new RequestOptions()
        .setMethod(method)
        .setHost(at.host())
        .setPort(at.port())
        .setURI(uri)
        .setConnectTimeout(connectMs);
  }

  int waiting() {
    return out.size() + rungs.size() + ends;
  }

  long endsGivenUp() {
    return endsGivenUp;
  }

  /* ---- set-ups ---- */

  void setUp(Held vw, int tuneIn) {
    BoxTable.Entry box = vw.box();
    Out o = new Out(box, tuneIn, program.viewerOf(vw).base());
    out.put(vw, o);
    others(
        setUps,
        to(box, HttpMethod.PUT, "/viewings/" + vw.id(), site.boxes().connectMs()),
        request -> {
          if (o.over || !vw.sendable(tuneIn)) {
            request.reset();
            ended(vw, o, Ending.NEVER_SENT);
            return;
          }
          o.request = request;
          o.sent = true;
          int rung = vw.rungNow();
          String body =
              JSON.createObjectNode()
                  .put("key", vw.ask().key())
                  .put("front", site.front().number())
                  .put("tuneIn", tuneIn)
                  .put("title", vw.ask().title())
                  .put("package", site.packages().get(vw.ask().pack()).name())
                  .put("rung", rung)
                  .toString();
          request.putHeader("Content-Type", "application/json");
          sent(
              request,
              Buffer.buffer(body),
              r -> read(vw, o, box, rung, r),
              e -> ended(vw, o, Ending.BROKEN));
        },
        e -> {
          boolean full = e instanceof io.vertx.core.http.ConnectionPoolTooBusyException;
          ended(vw, o, full ? Ending.NEVER_SENT : Ending.NOT_REACHED);
        });
  }

  /** Obtains a connection; what fails here was never written. */
  private void others(
      HttpClient client,
      RequestOptions options,
      Consumer<HttpClientRequest> got,
      Consumer<Throwable> not) {
    client
        .request(options)
        .onComplete(
            r ->
                program.onDesk(
                    () -> {
                      if (r.succeeded()) {
                        r.result().exceptionHandler(e -> {}); // what fails is told by the futures
                        got.accept(r.result());
                      } else {
                        not.accept(r.cause());
                      }
                    }));
  }

  /**
   * Sends a request; what is to be done with its answer is known before, so that it is in place
   * when the first bytes come on the loop of the call: an answer that is quicker than the desk
   * would lose them.
   */
  static void sent(
      HttpClientRequest request,
      Buffer body,
      Consumer<HttpClientResponse> answered,
      Consumer<Throwable> not) {
    request.response().onSuccess(answered::accept).onFailure(not::accept);
    if (body.length() == 0) {
      request.end();
    } else {
      request.end(body);
    }
  }

  private void ended(Held vw, Out o, Ending how) {
    program.onDesk(
        () -> {
          if (!o.over) {
            o.over = true;
            out.remove(vw, o);
            if (how == Ending.BROKEN) {
              tellEnd(vw, o.box, o.tuneIn); // it may run there
            }
            vw.failed(o.tuneIn, how);
          }
        });
  }

  /**
   * On the loop of the call: reads the answer and rewrites the playlist; the desk hears the
   * outcome.
   */
  private void read(Held vw, Out o, BoxTable.Entry box, int rung, HttpClientResponse r) {
    int status = r.statusCode();
    program.onDesk(() -> told(box, r));
    if (status != 201) {
      r.handler(b -> {});
      boolean never = "true".equals(r.getHeader("Never-Ran"));
      ended(vw, o, never ? Ending.TURNED_AWAY : Ending.ERROR);
      return;
    }
    Buffer body = Buffer.buffer();
    r.exceptionHandler(e -> ended(vw, o, Ending.BROKEN));
    r.handler(
        b -> {
          body.appendBuffer(b);
          if (body.length() > site.boxes().playlistBytes()) {
            r.handler(x -> {});
            r.endHandler(x -> {});
            broken(vw, o, box, "a playlist longer than " + site.boxes().playlistBytes() + " bytes");
          }
        });
    r.endHandler(
        v -> {
          try {
            String text =
                Playlists.multivariant(
                    body.getBytes(),
                    rung,
                    o.base + "/v/" + vw.id() + "/media.m3u8",
                    uri -> o.base + Paths.viewingPath(vw.id(), "", uri));
            program.onDesk(() -> plays(vw, o, box, text));
          } catch (MalformedPlaylistException e) {
            broken(vw, o, box, e.getMessage());
          }
        });
  }

  private void plays(Held vw, Out o, BoxTable.Entry box, String playlist) {
    if (o.over) {
      return;
    }
    o.over = true;
    out.remove(vw, o);
    program.viewerOf(vw).playlist(playlist);
    program.viewerOf(vw).rungBytes(site.bytesOf(vw.ask().pack(), vw.rungNow()));
    vw.plays(o.tuneIn);
    if (vw.isPlaying()) {
      program.notes().playing(vw, box);
    }
  }

  /** What every answer of a box may tell beside what it was asked. */
  private void told(BoxTable.Entry box, HttpClientResponse r) {
    report(box, r.getHeader("Load"));
    program.notes().lifeTold(box, r.getHeader("Box-Life"), r.getHeader("Box-Age-Ms"));
  }

  /** The box answered with what no player can use: the viewing may run there and must end there. */
  private void broken(Held vw, Out o, BoxTable.Entry box, String what) {
    program.onDesk(
        () -> {
          if (!o.over) {
            log.warn("broken playlist", box.toString(), what);
            withdraw(vw, box, o.tuneIn);
            vw.failed(o.tuneIn, Ending.SPOILT);
          }
        });
  }

  /* ---- ends ---- */

  /**
   * Ends a viewing or tune-in at its box; tried again a bounded number of times, then left to the
   * box's lease.
   */
  void withdraw(Held vw, BoxTable.Entry box, int tuneIn) {
    Out o = out.remove(vw);
    if (o != null && !o.over) {
      o.over = true;
      if (o.request != null) {
        o.request.reset();
      }
      if (!o.sent) {
        return;
      }
    }
    program.notes().over(vw, box);
    tellEnd(vw, box, tuneIn);
  }

  private void tellEnd(Held vw, BoxTable.Entry box, int tuneIn) {
    if (ends >= site.boxes().waitingEnds()) {
      endsGivenUp++;
      log.warn("end not told", box.toString(), "too many wait");
      return;
    }
    ends++;
    int ms = site.boxes().endRetryMs();
    end(
        box,
        "/viewings/" + vw.id() + "?tuneIn=" + tuneIn,
        site.boxes().endTries(),
        new Backoff(Span.ofMillis(ms), Span.ofMillis(8L * ms), chance.split()),
        () -> vw.endConfirmed(tuneIn));
  }

  /**
   * A box that has answered keeps the end: nothing of that tune-in runs there, nor can any more
   * (docs/protocol/box.md).
   */
  private void end(BoxTable.Entry box, String uri, int tries, Backoff pause, Runnable confirmed) {
    if (closed) {
      return; // the front has ended; the box's lease ends it there
    }
    call(
        HttpMethod.DELETE,
        box,
        uri,
        null,
        site.boxes().firstByteMs(),
        (status, r) -> {
          if (status >= 200 && status < 300 || status == 404 || status == 410) {
            ends--;
            confirmed.run();
          } else if (tries > 1 && (status != 0 || box.state() != BoxTable.State.GONE)) {
            program.wakeAfter(pause.next(), () -> end(box, uri, tries - 1, pause, confirmed));
          } else {
            ends--;
            endsGivenUp++;
            log.warn(
                "end not told", box.toString(), status == 0 ? "no answer" : "status " + status);
          }
        });
  }

  /* ---- rungs ---- */

  void rung(Held vw) {
    if (rungs.put(vw, vw.rungNow()) == null) {
      tellRung(vw, vw.box(), site.boxes().rungTries());
    }
  }

  private void tellRung(Held vw, BoxTable.Entry box, int tries) {
    int told = vw.rungNow();
    String body = JSON.createObjectNode().put("rung", told).toString();
    call(
        HttpMethod.PATCH,
        box,
        "/viewings/" + vw.id(),
        body,
        site.boxes().firstByteMs(),
        (status, r) -> {
          if (!vw.isPlaying()) {
            rungs.remove(vw);
          } else if (status == 404 || status == 410) {
            rungs.remove(vw);
            vw.boxLost();
          } else if (status == 200 && vw.rungNow() == told || tries <= 1) {
            rungs.remove(vw);
          } else {
            tellRung(vw, box, status == 200 ? site.boxes().rungTries() : tries - 1);
          }
        });
  }

  /* ---- probes and plain calls ---- */

  void probe(BoxTable.Entry box) {
    if (box.address() == null) {
      program.wakeAfter(Span.ofMillis(1), () -> program.core().probed(box, false));
      return;
    }
    call(
        HttpMethod.GET,
        box,
        "/load?front=" + site.front().number(),
        null,
        site.boxes().probeMs(),
        (status, r) -> {
          if (status == 200) {
            told(box, r);
          }
          program.core().probed(box, status == 200);
        });
  }

  private interface Answered {
    /** Status 0: no answer came, or none in time. */
    void with(int status, HttpClientResponse response);
  }

  /** One call, answered once, on the desk. Its fields are read and written there alone. */
  private final class Call {
    private final Answered then;
    private final Carrier.Wake limit;
    private HttpClientRequest request;
    private boolean done;

    private Call(int ms, Answered then) {
      this.then = then;
      this.limit = program.wakeAfter(Span.ofMillis(ms), this::giveUp);
    }

    private void giveUp() {
      if (!done && request != null) {
        request.reset();
      }
      end(0, null);
    }

    private void end(int status, HttpClientResponse response) {
      program.onDesk(
          () -> {
            if (!done) {
              done = true;
              limit.cancel();
              then.with(status, response);
            }
          });
    }

    private void send(HttpClientRequest q, String body) {
      request = q;
      if (done) {
        q.reset();
        return;
      }
      if (body != null) {
        q.putHeader("Content-Type", "application/json");
      }
      sent(
          q,
          body == null ? Buffer.buffer() : Buffer.buffer(body),
          r -> {
            r.handler(b -> {});
            end(r.statusCode(), r);
          },
          e -> end(0, null));
    }
  }

  /** One call whose body does not matter. */
  private void call(
      HttpMethod method, BoxTable.Entry box, String uri, String body, int ms, Answered then) {
    Call call = new Call(ms, then);
    others(
        others,
        to(box, method, uri, site.boxes().connectMs()),
        q -> call.send(q, body),
        e -> call.end(0, null));
  }

  /** The Load header: "link=0.8; uplink=0.7; streams=12", each part optional. */
  private void report(BoxTable.Entry box, String load) {
    if (load == null || load.length() > 200) {
      return;
    }
    double[] figures = {Double.NaN, Double.NaN, Double.NaN};
    for (String part : load.split(";")) {
      int equals = part.indexOf('=');
      int i =
          equals < 0
              ? -1
              : java.util.List.of("link", "uplink", "streams")
                  .indexOf(part.substring(0, equals).strip());
      if (i >= 0) {
        figures[i] = figure(part.substring(equals + 1).strip());
      }
    }
    program.core().reported(box, figures[0], figures[1], figures[2]);
  }

  /** A figure that a box told; what is no sensible one counts as not told. */
  static double figure(String text) {
    try {
      double v = Double.parseDouble(text);
      return v >= 0 && v < 1e9 ? v : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  static JsonNode line(byte[] bytes) throws JacksonException {
    try {
      return JSON.readTree(bytes);
    } catch (JacksonException e) {
      throw e;
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  void close() {
    closed = true;
    setUps.close();
    others.close();
  }
}
