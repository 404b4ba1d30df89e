package linengauge.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import linengauge.Span;
import linengauge.net.WallClock;

/**
 * One long response, read line by line on the session loop. It ends once: by itself, by silence, by
 * a line that is too long, or by close(). A closed stream calls its reader no more.
 */
final class LineStream {
  /** Receives the lines and the end of a stream, on the session loop. */
  interface Reader {
    void onLine(byte[] line);

    /**
     * Called when the stream has ended.
     *
     * @param lineReceived whether any line was received
     * @param status of the response; 0 where none was received, or the stream fell silent
     */
    void onEnd(boolean lineReceived, int status, String reason);
  }

  private final FrontServer front;
  private final Reader reader;
  private final Span maxSilence;
  private final Span maxAnswerWait;
  private HttpClientRequest request;
  private LineSplitter splitter;
  private long lastByteMicros = WallClock.micros();
  private boolean isAnswered;
  private boolean lineReceived;
  private boolean ended;

  /**
   * Opens a stream.
   *
   * @param maxAnswerWait how long the first byte may take
   * @param maxSilence how long each further one may take
   */
  LineStream(
      FrontServer front,
      HttpClient client,
      RequestOptions options,
      int maxLineBytes,
      Span maxAnswerWait,
      Span maxSilence,
      Reader reader) {
    this.front = front;
    this.reader = reader;
    this.maxAnswerWait = maxAnswerWait;
    this.maxSilence = maxSilence;
    this.splitter =
        new LineSplitter(
            maxLineBytes,
            line -> {
              if (!ended) {
                lineReceived = true;
                reader.onLine(line);
              }
            },
            () -> end(200, "line longer than " + maxLineBytes + " bytes"));
    front.schedule(maxAnswerWait.min(maxSilence), this::checkSilence);
    client
        .request(options)
        .onComplete(
            result ->
                front.runOnSessionLoop(
                    () -> {
                      if (ended) {
                        if (result.succeeded()) {
                          result.result().reset();
                        }
                      } else if (result.failed()) {
                        end(0, "cannot connect: " + result.cause().getMessage());
                      } else {
                        send(result.result());
                      }
                    }));
  }

  private void send(HttpClientRequest opened) {
    request = opened;
    opened.exceptionHandler(e -> {}); // failures are reported by the futures
    BoxClient.sendRequest(
        opened,
        Buffer.buffer(),
        response -> {
          if (response.statusCode() != 200) {
            front.runOnSessionLoop(
                () -> end(response.statusCode(), "status " + response.statusCode()));
            return;
          }
          response.exceptionHandler(
              e -> front.runOnSessionLoop(() -> end(200, "connection failed: " + e.getMessage())));
          response.endHandler(v -> front.runOnSessionLoop(() -> end(200, "ended by the box")));
          response.handler(
              chunk ->
                  front.runOnSessionLoop(
                      () -> {
                        isAnswered = true;
                        lastByteMicros = WallClock.micros();
                        splitter.append(chunk);
                      }));
        },
        e -> front.runOnSessionLoop(() -> end(0, "connection failed: " + e.getMessage())));
  }

  private void checkSilence() {
    if (ended) {
      return;
    }
    Span silent = new Span(WallClock.micros() - lastByteMicros);
    Span limit = isAnswered ? maxSilence : maxAnswerWait;
    if (silent.isShorterThan(limit)) {
      front.schedule(limit.minus(silent).min(maxSilence), this::checkSilence);
    } else {
      end(0, "silent for " + maxSilence.micros() / 1000 + " ms");
    }
  }

  private void end(int status, String reason) {
    if (!ended) {
      close();
      reader.onEnd(lineReceived, status, reason);
    }
  }

  /** Whether the request was sent and nothing has been received. */
  boolean isUnanswered() {
    return request != null && !isAnswered;
  }

  void close() {
    ended = true;
    splitter.close();
    if (request != null) {
      request.reset();
    }
  }
}
