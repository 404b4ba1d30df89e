package linengauge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpMethod;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * A retry over HTTP goes to the same box only after the box has confirmed the end of the previous
 * attempt.
 */
class RetryOrderSocketsTest {
  private static final String SETTINGS =
      "desk: { idleMs: 60000 }, stop: { playingMs: 100 }, rules: { coldMs: 0 },"
          + " boxes: { endRetryMs: 50 }";
  private static final int END_RESPONSE_DELAY_MS = 150;

  private static String endConfirmed(int tuneIn) {
    return "answered tuneIn=" + tuneIn;
  }

  /** Delays the responses to ends, and records each as it is sent. */
  private static void delayEndResponses(FrontFixture fixture, FrontFixture.ScriptedBox box) {
    box.otherHandler =
        request -> {
          if (request.method() == HttpMethod.DELETE) {
            fixture.vertx.setTimer(
                END_RESPONSE_DELAY_MS,
                t -> {
                  box.events.add(endConfirmed(Integer.parseInt(request.getParam("tuneIn"))));
                  request.response().setStatusCode(404).end();
                });
          } else {
            request.response().end();
          }
        };
  }

  private static void assertEachAttemptFollowsTheConfirmedEndOfThePrevious(
      FrontFixture.ScriptedBox box) {
    List<String> events = List.copyOf(box.events);
    int attempts = 0;
    for (int i = 0; i < events.size(); i++) {
      if (events.get(i).startsWith("PUT")) {
        assertTrue(
            attempts == 0 || events.subList(0, i).contains(endConfirmed(attempts - 1)),
            events.toString());
        attempts++;
      }
    }
    assertTrue(attempts > 1, "the set-up is retried once the end is confirmed: " + events);
  }

  /** Guards against a retry that a box reads before the end of the attempt that timed out. */
  @Test
  void aBoxThatTimedOutIsRetriedAfterItConfirmedTheEnd() throws Exception {
    try (FrontFixture fixture = new FrontFixture(1, SETTINGS).start()) {
      FrontFixture.ScriptedBox box = fixture.boxes.get(0);
      delayEndResponses(fixture, box);
      box.setUpHandler =
          request -> {
            if (box.countEvents("PUT") > 1) {
              box.acceptSetUp(request);
            }
          };
      CompletableFuture<HttpResponse<String>> joined = fixture.requestViewingAsync("");
      assertEquals(200, joined.join().statusCode());
      assertEachAttemptFollowsTheConfirmedEndOfThePrevious(box);
    }
  }

  /**
   * Guards against an attempt that continues at a box after its connection broke or its answer was
   * invalid.
   */
  @Test
  void aBoxWithABrokenOrInvalidAnswerIsRetriedAfterItConfirmedTheEnd() throws Exception {
    for (boolean breaks : new boolean[] {true, false}) {
      try (FrontFixture fixture = new FrontFixture(1, SETTINGS).start()) {
        FrontFixture.ScriptedBox box = fixture.boxes.get(0);
        delayEndResponses(fixture, box);
        box.setUpHandler =
            request -> {
              if (box.countEvents("PUT") > 1) {
                box.acceptSetUp(request);
              } else if (breaks) {
                request.connection().close();
              } else {
                request.response().setStatusCode(201).end("<html>");
              }
            };
        CompletableFuture<HttpResponse<String>> joined = fixture.requestViewingAsync("");
        joined.join();
        assertEachAttemptFollowsTheConfirmedEndOfThePrevious(box);
      }
    }
  }
}
