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
import linengauge.Environment.AttemptOutcome;
import linengauge.Span;
import linengauge.hls.MalformedPlaylistException;
import linengauge.hls.Paths;
import linengauge.hls.Playlists;
import linengauge.net.RateLimitedLog;
import linengauge.session.Backoff;
import linengauge.session.BoxTable;
import linengauge.session.Session;
import linengauge.session.Transport;
import linengauge.site.Site;
import org.slf4j.LoggerFactory;

/**
 * HTTP client for media boxes (docs/protocol/box.md). The state of calls is confined to the session
 * loop. Their bytes are read and written on another event loop, so that they take no time of the
 * session loop. The client distinguishes a set-up that provably never ran (no connection, or an
 * explicit rejection) from one that may have run, and makes no other decision.
 */
final class BoxClient {
  static final ObjectMapper JSON = new ObjectMapper();

  /**
   * The most that the library reads at once by default. Limits from here on are not set: a setting
   * would gain nothing, and would also fix the size of the socket's receive buffer.
   */
  private static final int LARGEST_READ_BYTES = 65_536;

  /** A set-up that has not been answered. */
  private static final class PendingSetUp {
    private final BoxTable.Entry box;
    private final int tuneIn;

    /** What precedes the paths in the viewer's playlist: empty, or scheme and address. */
    private final String baseUrl;

    private HttpClientRequest request;
    private boolean sent;
    private boolean finished;

    private PendingSetUp(BoxTable.Entry box, int tuneIn, String baseUrl) {
      this.box = box;
      this.tuneIn = tuneIn;
      this.baseUrl = baseUrl;
    }
  }

  private boolean closed;
  private final Site site;
  private final FrontServer front;
  private final HttpClient setUpClient;
  private final HttpClient callClient;
  private final SplittableRandom random;
  private final RateLimitedLog log = new RateLimitedLog(LoggerFactory.getLogger(BoxClient.class));

  /** Unanswered set-ups; each is removed with its outcome or when it is cancelled. */
  private final Map<Session, PendingSetUp> pendingSetUps = new HashMap<>();

  /**
   * Viewings whose rung is being sent, one call each; removed when the box has confirmed the latest
   * rung or no tries are left.
   */
  private final Map<Session, Integer> pendingRungs = new HashMap<>();

  /** Ends that boxes have not confirmed yet; bounded by the site file. */
  private int pendingEnds;

  private long endsGivenUp;

  BoxClient(Vertx vertx, Site site, long seed, FrontServer front) {
    this.site = site;
    this.front = front;
    this.random = new SplittableRandom(seed);
    this.setUpClient =
        newClient(vertx, site, site.boxes().connections(), site.boxes().waitingSetUps());
    this.callClient =
        newClient(vertx, site, site.boxes().connections(), site.boxes().waitingEnds());
  }

  static HttpClient newClient(Vertx vertx, Site site, int connections, int maxWaiting) {
    return newClient(
        vertx, site, connections, maxWaiting, HttpClientOptions.DEFAULT_RECEIVE_BUFFER_SIZE);
  }

  static HttpClient newClient(
      Vertx vertx, Site site, int connections, int maxWaiting, int readBytes) {
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
        new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(maxWaiting));
  }

  static RequestOptions requestTo(
      BoxTable.Entry box, HttpMethod method, String uri, int connectMs) {
    Site.Address address = Site.Address.parse(box.address());
    return new RequestOptions()
        .setMethod(method)
        .setHost(address.host())
        .setPort(address.port())
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

  void setUp(Session viewing, int tuneIn) {
    BoxTable.Entry box = viewing.box();
    PendingSetUp pending = new PendingSetUp(box, tuneIn, front.viewerOf(viewing).baseUrl());
    pendingSetUps.put(viewing, pending);
    connect(
        setUpClient,
        requestTo(box, HttpMethod.PUT, "/viewings/" + viewing.id(), site.boxes().connectMs()),
        request -> {
          if (pending.finished || !viewing.tryBeginSend(tuneIn)) {
            request.reset();
            failSetUp(viewing, pending, AttemptOutcome.NEVER_SENT);
            return;
          }
          pending.request = request;
          pending.sent = true;
          int rung = viewing.currentRung();
          String body =
              JSON.createObjectNode()
                  .put("key", viewing.request().key())
                  .put("front", site.front().number())
                  .put("tuneIn", tuneIn)
                  .put("title", viewing.request().title())
                  .put("package", site.packages().get(viewing.request().packageIndex()).name())
                  .put("rung", rung)
                  .toString();
          request.putHeader("Content-Type", "application/json");
          sendRequest(
              request,
              Buffer.buffer(body),
              r -> onSetUpResponse(viewing, pending, box, rung, r),
              e -> failSetUp(viewing, pending, AttemptOutcome.BROKEN));
        },
        e -> {
          boolean full = e instanceof io.vertx.core.http.ConnectionPoolTooBusyException;
          failSetUp(
              viewing, pending, full ? AttemptOutcome.NEVER_SENT : AttemptOutcome.NOT_REACHED);
        });
  }

  /** Obtains a connection. After a failure here nothing has been written. */
  private void connect(
      HttpClient client,
      RequestOptions options,
      Consumer<HttpClientRequest> onConnected,
      Consumer<Throwable> onFailure) {
    client
        .request(options)
        .onComplete(
            result ->
                front.runOnSessionLoop(
                    () -> {
                      if (result.succeeded()) {
                        // Failures are reported by the futures.
                        result.result().exceptionHandler(e -> {});
                        onConnected.accept(result.result());
                      } else {
                        onFailure.accept(result.cause());
                      }
                    }));
  }

  /**
   * Sends a request. The response handler is set before, so that it is in place when the first
   * bytes arrive on the call's event loop; a handler set later on the session loop could miss the
   * start of a fast response.
   */
  static void sendRequest(
      HttpClientRequest request,
      Buffer body,
      Consumer<HttpClientResponse> onResponse,
      Consumer<Throwable> onFailure) {
    request.response().onSuccess(onResponse::accept).onFailure(onFailure::accept);
    if (body.length() == 0) {
      request.end();
    } else {
      request.end(body);
    }
  }

  private void failSetUp(Session viewing, PendingSetUp pending, AttemptOutcome outcome) {
    front.runOnSessionLoop(
        () -> {
          if (!pending.finished) {
            pending.finished = true;
            pendingSetUps.remove(viewing, pending);
            if (outcome == AttemptOutcome.BROKEN) {
              sendEnd(viewing, pending.box, pending.tuneIn); // the set-up may run at the box
            }
            viewing.setUpFailed(pending.tuneIn, outcome);
          }
        });
  }

  /**
   * Reads the response and rewrites the playlist, on the call's event loop. The outcome is handled
   * on the session loop.
   */
  private void onSetUpResponse(
      Session viewing,
      PendingSetUp pending,
      BoxTable.Entry box,
      int rung,
      HttpClientResponse response) {
    int status = response.statusCode();
    front.runOnSessionLoop(() -> readReportHeaders(box, response));
    if (status != 201) {
      response.handler(b -> {});
      boolean neverRan = "true".equals(response.getHeader("Never-Ran"));
      failSetUp(viewing, pending, neverRan ? AttemptOutcome.TURNED_AWAY : AttemptOutcome.ERROR);
      return;
    }
    Buffer body = Buffer.buffer();
    response.exceptionHandler(e -> failSetUp(viewing, pending, AttemptOutcome.BROKEN));
    response.handler(
        b -> {
          body.appendBuffer(b);
          if (body.length() > site.boxes().playlistBytes()) {
            response.handler(x -> {});
            response.endHandler(x -> {});
            rejectPlaylist(
                viewing,
                pending,
                box,
                "playlist longer than " + site.boxes().playlistBytes() + " bytes");
          }
        });
    response.endHandler(
        v -> {
          try {
            String text =
                Playlists.multivariant(
                    body.getBytes(),
                    rung,
                    pending.baseUrl + "/v/" + viewing.id() + "/media.m3u8",
                    uri -> pending.baseUrl + Paths.viewingPath(viewing.id(), "", uri));
            front.runOnSessionLoop(() -> completeSetUp(viewing, pending, box, text));
          } catch (MalformedPlaylistException e) {
            rejectPlaylist(viewing, pending, box, e.getMessage());
          }
        });
  }

  private void completeSetUp(
      Session viewing, PendingSetUp pending, BoxTable.Entry box, String playlist) {
    if (pending.finished) {
      return;
    }
    pending.finished = true;
    pendingSetUps.remove(viewing, pending);
    front.viewerOf(viewing).playlist(playlist);
    front
        .viewerOf(viewing)
        .rungBytesPerSecond(site.bytesOf(viewing.request().packageIndex(), viewing.currentRung()));
    viewing.setUpSucceeded(pending.tuneIn);
    if (viewing.isPlaying()) {
      front.noteStreams().viewingStarted(viewing, box);
    }
  }

  /** Reads the load, life and age headers that any response of a box may carry. */
  private void readReportHeaders(BoxTable.Entry box, HttpClientResponse response) {
    reportLoad(box, response.getHeader("Load"));
    front
        .noteStreams()
        .reportLife(box, response.getHeader("Box-Life"), response.getHeader("Box-Age-Ms"));
  }

  /**
   * Handles a set-up that was answered with a playlist that no player can use. The viewing may run
   * at the box, so it is ended there.
   */
  private void rejectPlaylist(
      Session viewing, PendingSetUp pending, BoxTable.Entry box, String reason) {
    front.runOnSessionLoop(
        () -> {
          if (!pending.finished) {
            log.warn("invalid playlist", box.toString(), reason);
            cancel(viewing, box, pending.tuneIn);
            viewing.setUpFailed(pending.tuneIn, AttemptOutcome.SPOILT);
          }
        });
  }

  /* ---- ends ---- */

  /**
   * Ends a viewing or tune-in at its box. The end is retried a limited number of times, then left
   * to the box's lease.
   */
  void cancel(Session viewing, BoxTable.Entry box, int tuneIn) {
    PendingSetUp pending = pendingSetUps.remove(viewing);
    if (pending != null && !pending.finished) {
      pending.finished = true;
      if (pending.request != null) {
        pending.request.reset();
      }
      if (!pending.sent) {
        return;
      }
    }
    front.noteStreams().viewingEnded(viewing, box);
    sendEnd(viewing, box, tuneIn);
  }

  private void sendEnd(Session viewing, BoxTable.Entry box, int tuneIn) {
    if (pendingEnds >= site.boxes().waitingEnds()) {
      endsGivenUp++;
      log.warn("end not confirmed", box.toString(), "too many ends are pending");
      return;
    }
    pendingEnds++;
    int retryMs = site.boxes().endRetryMs();
    tryEnd(
        box,
        "/viewings/" + viewing.id() + "?tuneIn=" + tuneIn,
        site.boxes().endTries(),
        new Backoff(Span.ofMillis(retryMs), Span.ofMillis(8L * retryMs), random.split()),
        () -> viewing.endConfirmed(tuneIn));
  }

  /**
   * Sends an end. Once the box has confirmed it (2xx, 404 or 410), nothing of the tune-in runs
   * there or can start later, as the box remembers the end (docs/protocol/box.md).
   */
  private void tryEnd(
      BoxTable.Entry box, String uri, int triesLeft, Backoff backoff, Runnable onConfirmed) {
    if (closed) {
      return; // the front has stopped; the box's lease ends the viewing
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
            onConfirmed.run();
          } else if (triesLeft > 1 && (status != 0 || box.state() != BoxTable.State.GONE)) {
            front.schedule(
                backoff.nextDelay(), () -> tryEnd(box, uri, triesLeft - 1, backoff, onConfirmed));
          } else {
            pendingEnds--;
            endsGivenUp++;
            log.warn(
                "end not confirmed",
                box.toString(),
                status == 0 ? "no response" : "status " + status);
          }
        });
  }

  /* ---- rungs ---- */

  void updateRung(Session viewing) {
    if (pendingRungs.put(viewing, viewing.currentRung()) == null) {
      sendRung(viewing, viewing.box(), site.boxes().rungTries());
    }
  }

  private void sendRung(Session viewing, BoxTable.Entry box, int triesLeft) {
    int sentRung = viewing.currentRung();
    String body = JSON.createObjectNode().put("rung", sentRung).toString();
    call(
        HttpMethod.PATCH,
        box,
        "/viewings/" + viewing.id(),
        body,
        site.boxes().firstByteMs(),
        (status, r) -> {
          if (!viewing.isPlaying()) {
            pendingRungs.remove(viewing);
          } else if (status == 404 || status == 410) {
            pendingRungs.remove(viewing);
            viewing.boxLost();
          } else if (status == 200 && viewing.currentRung() == sentRung || triesLeft <= 1) {
            pendingRungs.remove(viewing);
          } else {
            sendRung(viewing, box, status == 200 ? site.boxes().rungTries() : triesLeft - 1);
          }
        });
  }

  /* ---- probes and plain calls ---- */

  void probe(BoxTable.Entry box) {
    if (box.address() == null) {
      front.schedule(Span.ofMillis(1), () -> front.sessionManager().probeCompleted(box, false));
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
          front.sessionManager().probeCompleted(box, status == 200);
        });
  }

  private interface ResponseCallback {
    /** Called with status 0 where no response arrived, or none in time. */
    void onResponse(int status, HttpClientResponse response);
  }

  /**
   * One call, whose callback runs once, on the session loop. Its fields are confined to that loop.
   */
  private final class Call {
    private final ResponseCallback callback;
    private final Transport.Timer timeoutTimer;
    private HttpClientRequest request;
    private boolean done;

    private Call(int timeoutMs, ResponseCallback callback) {
      this.callback = callback;
      this.timeoutTimer = front.schedule(Span.ofMillis(timeoutMs), this::timeOut);
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

    private void send(HttpClientRequest boxRequest, String body) {
      request = boxRequest;
      if (done) {
        boxRequest.reset();
        return;
      }
      if (body != null) {
        boxRequest.putHeader("Content-Type", "application/json");
      }
      sendRequest(
          boxRequest,
          body == null ? Buffer.buffer() : Buffer.buffer(body),
          r -> {
            r.handler(b -> {});
            complete(r.statusCode(), r);
          },
          e -> complete(0, null));
    }
  }

  /** Makes a call whose response body is ignored. */
  private void call(
      HttpMethod method,
      BoxTable.Entry box,
      String uri,
      String body,
      int timeoutMs,
      ResponseCallback callback) {
    Call call = new Call(timeoutMs, callback);
    connect(
        callClient,
        requestTo(box, method, uri, site.boxes().connectMs()),
        boxRequest -> call.send(boxRequest, body),
        e -> call.complete(0, null));
  }

  /**
   * Parses the Load header, for example "link=0.8; uplink=0.7; streams=12"; each part is optional.
   */
  private void reportLoad(BoxTable.Entry box, String header) {
    if (header == null || header.length() > 200) {
      return;
    }
    double[] values = {Double.NaN, Double.NaN, Double.NaN};
    for (String part : header.split(";")) {
      int separator = part.indexOf('=');
      int index =
          separator < 0
              ? -1
              : java.util.List.of("link", "uplink", "streams")
                  .indexOf(part.substring(0, separator).strip());
      if (index >= 0) {
        values[index] = parseLoadValue(part.substring(separator + 1).strip());
      }
    }
    front.sessionManager().loadReported(box, values[0], values[1], values[2]);
  }

  /** Parses a load value; NaN where it is not a number in the permitted range. */
  static double parseLoadValue(String text) {
    try {
      double value = Double.parseDouble(text);
      return value >= 0 && value < 1e9 ? value : Double.NaN;
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
