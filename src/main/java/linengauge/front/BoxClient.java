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
import linengauge.hls.BadPlaylist;
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
final class BoxClient {
  static final ObjectMapper JSON = new ObjectMapper();

  /**
   * The library reads no more at once unless told; to tell it would also bound the system's buffer,
   * for nothing.
   */
  private static final int LARGEST_READ_BYTES = 65_536;

  /** A set-up that is out. */
  private static final class PendingSetUp {
    private final BoxTable.Entry box;
    private final int tuneIn;

    /** Of the viewing's addresses, as its viewer is to have them. */
    private final String baseUrl;

    private HttpClientRequest request;
    private boolean sent;
    private boolean finished;

    private PendingSetUp(BoxTable.Entry box, int tuneIn, String base) {
      this.box = box;
      this.tuneIn = tuneIn;
      this.baseUrl = base;
    }
  }

  private boolean closed;
  private final Site site;
  private final FrontServer front;
  private final HttpClient setUpClient;
  private final HttpClient callClient;
  private final SplittableRandom random;
  private final Sparse log = new Sparse(LoggerFactory.getLogger(BoxClient.class));

  /** Set-ups out; each leaves with its outcome or when it is withdrawn. */
  private final Map<Held, PendingSetUp> pendingSetUps = new HashMap<>();

  /**
   * Rungs being told, one call a viewing; each leaves when the box has the latest or the tries are
   * used up.
   */
  private final Map<Held, Integer> pendingRungs = new HashMap<>();

  /** Ends that boxes are still to hear of; bounded by the site file. */
  private int pendingEnds;

  private long endsGivenUp;

  BoxClient(Vertx calls, Site site, long seed, FrontServer program) {
    this.site = site;
    this.front = program;
    this.random = new SplittableRandom(seed);
    this.setUpClient =
        newClient(calls, site, site.boxes().connections(), site.boxes().waitingSetUps());
    this.callClient =
        newClient(calls, site, site.boxes().connections(), site.boxes().waitingEnds());
  }

  static HttpClient newClient(Vertx vertx, Site site, int connections, int waiting) {
    return newClient(
        vertx, site, connections, waiting, HttpClientOptions.DEFAULT_RECEIVE_BUFFER_SIZE);
  }

  static HttpClient newClient(Vertx vertx, Site site, int connections, int waiting, int readBytes) {
    return vertx.createHttpClient(
        new HttpClientOptions()
            .setReceiveBufferSize(
                readBytes < LARGEST_READ_BYTES
                    ? readBytes
                    : HttpClientOptions.DEFAULT_RECEIVE_BUFFER_SIZE)
            .setConnectTimeout(site.boxes().connectMs())
            .setKeepAliveTimeout(Math.max(1, site.boxes().keepAliveMs() / 1000))
            .setTcpNoDelay(true)
            .setMaxHeaderSize(site.viewers().headerBytes())
            .setDecoderInitialBufferSize(256),
        new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(waiting));
  }

  static RequestOptions requestTo(
      BoxTable.Entry box, HttpMethod method, String uri, int connectMs) {
    Site.Address at = Site.Address.of(box.address());
    return new RequestOptions()
        .setMethod(method)
        .setHost(at.host())
        .setPort(at.port())
        .setURI(uri)
        .setConnectTimeout(connectMs);
  }

  int pendingCalls() {
    return pendingSetUps.size() + pendingRungs.size() + pendingEnds;
  }

  long endsGivenUp() {
    return endsGivenUp;
  }

  /* ---- set-ups ---- */

  void setUp(Held vw, int tuneIn) {
    BoxTable.Entry box = vw.box();
    PendingSetUp o = new PendingSetUp(box, tuneIn, front.viewerOf(vw).baseUrl());
    pendingSetUps.put(vw, o);
    connect(
        setUpClient,
        requestTo(box, HttpMethod.PUT, "/viewings/" + vw.id(), site.boxes().connectMs()),
        request -> {
          if (o.finished || !vw.sendable(tuneIn)) {
            request.reset();
            failSetUp(vw, o, Ending.NEVER_SENT);
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
          sendRequest(
              request,
              Buffer.buffer(body),
              r -> onSetUpResponse(vw, o, box, rung, r),
              e -> failSetUp(vw, o, Ending.BROKEN));
        },
        e -> {
          boolean full = e instanceof io.vertx.core.http.ConnectionPoolTooBusyException;
          failSetUp(vw, o, full ? Ending.NEVER_SENT : Ending.NOT_REACHED);
        });
  }

  /** Obtains a connection; what fails here was never written. */
  private void connect(
      HttpClient client,
      RequestOptions options,
      Consumer<HttpClientRequest> got,
      Consumer<Throwable> not) {
    client
        .request(options)
        .onComplete(
            r ->
                front.runOnSessionLoop(
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
  static void sendRequest(
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

  private void failSetUp(Held vw, PendingSetUp o, Ending how) {
    front.runOnSessionLoop(
        () -> {
          if (!o.finished) {
            o.finished = true;
            pendingSetUps.remove(vw, o);
            if (how == Ending.BROKEN) {
              sendEnd(vw, o.box, o.tuneIn); // it may run there
            }
            vw.failed(o.tuneIn, how);
          }
        });
  }

  /**
   * On the loop of the call: reads the answer and rewrites the playlist; the desk hears the
   * outcome.
   */
  private void onSetUpResponse(
      Held vw, PendingSetUp o, BoxTable.Entry box, int rung, HttpClientResponse r) {
    int status = r.statusCode();
    front.runOnSessionLoop(() -> readReportHeaders(box, r));
    if (status != 201) {
      r.handler(b -> {});
      boolean never = "true".equals(r.getHeader("Never-Ran"));
      failSetUp(vw, o, never ? Ending.TURNED_AWAY : Ending.ERROR);
      return;
    }
    Buffer body = Buffer.buffer();
    r.exceptionHandler(e -> failSetUp(vw, o, Ending.BROKEN));
    r.handler(
        b -> {
          body.appendBuffer(b);
          if (body.length() > site.boxes().playlistBytes()) {
            r.handler(x -> {});
            r.endHandler(x -> {});
            rejectPlaylist(
                vw, o, box, "a playlist longer than " + site.boxes().playlistBytes() + " bytes");
          }
        });
    r.endHandler(
        v -> {
          try {
            String text =
                Playlists.multivariant(
                    body.getBytes(),
                    rung,
                    o.baseUrl + "/v/" + vw.id() + "/media.m3u8",
                    uri -> o.baseUrl + Paths.under(vw.id(), "", uri));
            front.runOnSessionLoop(() -> completeSetUp(vw, o, box, text));
          } catch (BadPlaylist e) {
            rejectPlaylist(vw, o, box, e.getMessage());
          }
        });
  }

  private void completeSetUp(Held vw, PendingSetUp o, BoxTable.Entry box, String playlist) {
    if (o.finished) {
      return;
    }
    o.finished = true;
    pendingSetUps.remove(vw, o);
    front.viewerOf(vw).playlist(playlist);
    front.viewerOf(vw).rungBytesPerSecond(site.bytesOf(vw.ask().pack(), vw.rungNow()));
    vw.plays(o.tuneIn);
    if (vw.isPlaying()) {
      front.noteStreams().viewingStarted(vw, box);
    }
  }

  /** What every answer of a box may tell beside what it was asked. */
  private void readReportHeaders(BoxTable.Entry box, HttpClientResponse r) {
    reportLoad(box, r.getHeader("Load"));
    front.noteStreams().reportLife(box, r.getHeader("Box-Life"), r.getHeader("Box-Age-Ms"));
  }

  /** The box answered with what no player can use: the viewing may run there and must end there. */
  private void rejectPlaylist(Held vw, PendingSetUp o, BoxTable.Entry box, String what) {
    front.runOnSessionLoop(
        () -> {
          if (!o.finished) {
            log.warn("broken playlist", box.toString(), what);
            cancel(vw, box, o.tuneIn);
            vw.failed(o.tuneIn, Ending.SPOILT);
          }
        });
  }

  /* ---- ends ---- */

  /**
   * Ends a viewing or tune-in at its box; tried again a bounded number of times, then left to the
   * box's lease.
   */
  void cancel(Held vw, BoxTable.Entry box, int tuneIn) {
    PendingSetUp o = pendingSetUps.remove(vw);
    if (o != null && !o.finished) {
      o.finished = true;
      if (o.request != null) {
        o.request.reset();
      }
      if (!o.sent) {
        return;
      }
    }
    front.noteStreams().viewingEnded(vw, box);
    sendEnd(vw, box, tuneIn);
  }

  private void sendEnd(Held vw, BoxTable.Entry box, int tuneIn) {
    if (pendingEnds >= site.boxes().waitingEnds()) {
      endsGivenUp++;
      log.warn("end not told", box.toString(), "too many wait");
      return;
    }
    pendingEnds++;
    int ms = site.boxes().endRetryMs();
    tryEnd(
        box,
        "/viewings/" + vw.id() + "?tuneIn=" + tuneIn,
        site.boxes().endTries(),
        new Backoff(Span.ofMillis(ms), Span.ofMillis(8L * ms), random.split()),
        () -> vw.endConfirmed(tuneIn));
  }

  /**
   * A box that has answered keeps the end: nothing of that tune-in runs there, nor can any more
   * (docs/protocol/box.md).
   */
  private void tryEnd(
      BoxTable.Entry box, String uri, int tries, Backoff pause, Runnable confirmed) {
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
            pendingEnds--;
            confirmed.run();
          } else if (tries > 1 && (status != 0 || box.state() != BoxTable.State.GONE)) {
            front.wakeAfter(pause.next(), () -> tryEnd(box, uri, tries - 1, pause, confirmed));
          } else {
            pendingEnds--;
            endsGivenUp++;
            log.warn(
                "end not told", box.toString(), status == 0 ? "no answer" : "status " + status);
          }
        });
  }

  /* ---- rungs ---- */

  void updateRung(Held vw) {
    if (pendingRungs.put(vw, vw.rungNow()) == null) {
      sendRung(vw, vw.box(), site.boxes().rungTries());
    }
  }

  private void sendRung(Held vw, BoxTable.Entry box, int tries) {
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
            pendingRungs.remove(vw);
          } else if (status == 404 || status == 410) {
            pendingRungs.remove(vw);
            vw.boxLost();
          } else if (status == 200 && vw.rungNow() == told || tries <= 1) {
            pendingRungs.remove(vw);
          } else {
            sendRung(vw, box, status == 200 ? site.boxes().rungTries() : tries - 1);
          }
        });
  }

  /* ---- probes and plain calls ---- */

  void probe(BoxTable.Entry box) {
    if (box.address() == null) {
      front.wakeAfter(Span.ofMillis(1), () -> front.sessionManager().probed(box, false));
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
            readReportHeaders(box, r);
          }
          front.sessionManager().probed(box, status == 200);
        });
  }

  private interface ResponseCallback {
    /** Status 0: no answer came, or none in time. */
    void onResponse(int status, HttpClientResponse response);
  }

  /** One call, answered once, on the desk. Its fields are read and written there alone. */
  private final class Call {
    private final ResponseCallback callback;
    private final Carrier.Wake timeoutTimer;
    private HttpClientRequest request;
    private boolean done;

    private Call(int ms, ResponseCallback then) {
      this.callback = then;
      this.timeoutTimer = front.wakeAfter(Span.ofMillis(ms), this::timeOut);
    }

    private void timeOut() {
      if (!done && request != null) {
        request.reset();
      }
      complete(0, null);
    }

    private void complete(int status, HttpClientResponse response) {
      front.runOnSessionLoop(
          () -> {
            if (!done) {
              done = true;
              timeoutTimer.cancel();
              callback.onResponse(status, response);
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
      sendRequest(
          q,
          body == null ? Buffer.buffer() : Buffer.buffer(body),
          r -> {
            r.handler(b -> {});
            complete(r.statusCode(), r);
          },
          e -> complete(0, null));
    }
  }

  /** One call whose body does not matter. */
  private void call(
      HttpMethod method,
      BoxTable.Entry box,
      String uri,
      String body,
      int ms,
      ResponseCallback then) {
    Call call = new Call(ms, then);
    connect(
        callClient,
        requestTo(box, method, uri, site.boxes().connectMs()),
        q -> call.send(q, body),
        e -> call.complete(0, null));
  }

  /** The Load header: "link=0.8; uplink=0.7; streams=12", each part optional. */
  private void reportLoad(BoxTable.Entry box, String load) {
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
        figures[i] = parseLoadValue(part.substring(equals + 1).strip());
      }
    }
    front.sessionManager().reported(box, figures[0], figures[1], figures[2]);
  }

  /** A figure that a box told; what is no sensible one counts as not told. */
  static double parseLoadValue(String text) {
    try {
      double v = Double.parseDouble(text);
      return v >= 0 && v < 1e9 ? v : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  static JsonNode parseLine(byte[] bytes) throws JacksonException {
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
    setUpClient.close();
    callClient.close();
  }
}
