package linengauge.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import linengauge.Span;
import linengauge.carry.Wall;

/**
 * One long answer read line by line on the desk: it ends once, by itself, by silence, by a line too
 * long, or by close(). A stream that nobody holds any more calls nothing.
 */
final class LineStream {
  /** What a stream tells, on the desk. */
  interface Reader {
    void onLine(byte[] line);

    /**
     * The stream is over; `answered` says whether any line was heard on it, the status is 0 where
     * none came.
     */
    void onEnd(boolean lineReceived, int status, String reason);
  }

  private final FrontServer front;
  private final Reader reader;
  private final Span maxSilence;
  private HttpClientRequest request;
  private LineSplitter splitter;
  private long lastByteMicros = Wall.micros();
  private boolean lineReceived;
  private boolean ended;

  LineStream(
      FrontServer front,
      HttpClient client,
      RequestOptions options,
      int maxLineBytes,
      Span maxSilence,
      Reader reader) {
    this.front = front;
    this.reader = reader;
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
            () -> end(200, "a line longer than " + maxLineBytes + " bytes"));
    front.wakeAfter(maxSilence, this::checkSilence);
    client
        .request(options)
        .onComplete(
            r ->
                front.runOnSessionLoop(
                    () -> {
                      if (ended) {
                        if (r.succeeded()) {
                          r.result().reset();
                        }
                      } else if (r.failed()) {
                        end(0, "not reached: " + r.cause().getMessage());
                      } else {
                        send(r.result());
                      }
                    }));
  }

  private void send(HttpClientRequest opened) {
    request = opened;
    opened.exceptionHandler(e -> {}); // what fails is told by the futures
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
              e -> front.runOnSessionLoop(() -> end(200, "broken: " + e.getMessage())));
          response.endHandler(
              v -> front.runOnSessionLoop(() -> end(200, "ended by the other side")));
          response.handler(
              chunk ->
                  front.runOnSessionLoop(
                      () -> {
                        lastByteMicros = Wall.micros();
                        splitter.append(chunk);
                      }));
        },
        e -> front.runOnSessionLoop(() -> end(0, "broken: " + e.getMessage())));
  }

  private void checkSilence() {
    if (ended) {
      return;
    }
    Span silent = new Span(Wall.micros() - lastByteMicros);
    if (silent.under(maxSilence)) {
      front.wakeAfter(maxSilence.minus(silent), this::checkSilence);
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

  void close() {
    ended = true;
    splitter.close();
    if (request != null) {
      request.reset();
    }
  }
}
