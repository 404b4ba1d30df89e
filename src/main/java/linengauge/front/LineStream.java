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
    void onEnd(boolean answered, int status, String why);
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
      FrontServer program,
      HttpClient client,
      RequestOptions options,
      int longest,
      Span silence,
      Reader reader) {
    this.front = program;
    this.reader = reader;
    this.maxSilence = silence;
    this.splitter =
        new LineSplitter(
            longest,
            line -> {
              if (!ended) {
                lineReceived = true;
                reader.onLine(line);
              }
            },
            () -> end(200, "a line longer than " + longest + " bytes"));
    program.wakeAfter(silence, this::checkSilence);
    client
        .request(options)
        .onComplete(
            r ->
                program.runOnSessionLoop(
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

  private void send(HttpClientRequest q) {
    request = q;
    q.exceptionHandler(e -> {}); // what fails is told by the futures
    BoxClient.sendRequest(
        q,
        Buffer.buffer(),
        r -> {
          if (r.statusCode() != 200) {
            front.runOnSessionLoop(() -> end(r.statusCode(), "status " + r.statusCode()));
            return;
          }
          r.exceptionHandler(
              e -> front.runOnSessionLoop(() -> end(200, "broken: " + e.getMessage())));
          r.endHandler(v -> front.runOnSessionLoop(() -> end(200, "ended by the other side")));
          r.handler(
              b ->
                  front.runOnSessionLoop(
                      () -> {
                        lastByteMicros = Wall.micros();
                        splitter.append(b);
                      }));
        },
        e -> front.runOnSessionLoop(() -> end(0, "broken: " + e.getMessage())));
  }

  private void checkSilence() {
    if (ended) {
      return;
    }
    Span quiet = new Span(Wall.micros() - lastByteMicros);
    if (quiet.under(maxSilence)) {
      front.wakeAfter(maxSilence.minus(quiet), this::checkSilence);
    } else {
      end(0, "silent for " + maxSilence.micros() / 1000 + " ms");
    }
  }

  private void end(int status, String why) {
    if (!ended) {
      close();
      reader.onEnd(lineReceived, status, why);
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
