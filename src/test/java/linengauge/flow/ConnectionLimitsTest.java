package linengauge.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import org.junit.jupiter.api.Test;

class ConnectionLimitsTest {
  private static final ListenerSettings SETTINGS =
      new ListenerSettings(
          true,
          80,
          40,
          3,
          Span.ofSeconds(2),
          Span.ofSeconds(3),
          Span.ofSeconds(10),
          2,
          3,
          Span.ofSeconds(5),
          50);

  private final ConnectionLedger ledger = new ConnectionLedger(SETTINGS);
  private final LoopClock clock = new LoopClock(Span.ofMillis(100), Span.ofMillis(200));
  private final ConnectionAttempts attempts = new ConnectionAttempts(SETTINGS, clock);
  private final List<ConnectionAttempt.State> timedOutStates = new ArrayList<>();
  private Moment now = new Moment(5_000_000);

  private void run(double seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      now = now.plus(Span.ofMillis(100));
      attempts.tick(clock.tick(now));
    }
  }

  @Test
  void connectionsOverTheAddressLimitAreRejectedThenDropped() {
    for (int i = 0; i < 40; i++) {
      assertEquals(ConnectionLedger.Admission.SERVED, ledger.admit("a"));
    }
    for (int i = 0; i < 3; i++) {
      assertEquals(ConnectionLedger.Admission.REJECTED, ledger.admit("a"));
    }
    assertEquals(ConnectionLedger.Admission.DROPPED, ledger.admit("a"));
    assertEquals(ConnectionLedger.Admission.SERVED, ledger.admit("b"), "another address is served");
    ledger.release("a", ConnectionLedger.Admission.REJECTED);
    assertEquals(ConnectionLedger.Admission.REJECTED, ledger.admit("a"));
  }

  @Test
  void lastEighthIsReservedForAddressesBelowTheirFairShare() {
    for (String address : List.of("a", "b")) {
      for (int i = 0; i < 35; i++) {
        assertEquals(ConnectionLedger.Admission.SERVED, ledger.admit(address));
      }
    }
    for (int i = 0; i < 10; i++) {
      assertEquals(
          ConnectionLedger.Admission.SERVED,
          ledger.admit("c"),
          "a new address is served from the reserved part");
    }
    assertEquals(80, ledger.served());
    assertEquals(
        ConnectionLedger.Admission.REJECTED, ledger.admit("d"), "nothing over the total limit");
    for (int i = 0; i < 10; i++) {
      ledger.release("c", ConnectionLedger.Admission.SERVED);
    }
    assertEquals(ConnectionLedger.Admission.SERVED, ledger.admit("c"));
    assertEquals(
        ConnectionLedger.Admission.REJECTED,
        ledger.admit("a"),
        "an address at its equal share is not");
  }

  @Test
  void countsAreConsistentAfterRandomConnects() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      ConnectionLedger seededLedger = new ConnectionLedger(SETTINGS);
      List<String> addresses = new ArrayList<>();
      List<ConnectionLedger.Admission> admissions = new ArrayList<>();
      for (int i = 0; i < 2000; i++) {
        if (random.nextInt(5) < 3) {
          String address = "" + random.nextInt(1 + random.nextInt(30));
          addresses.add(address);
          admissions.add(seededLedger.admit(address));
        } else if (!addresses.isEmpty()) {
          int index = random.nextInt(addresses.size());
          seededLedger.release(addresses.remove(index), admissions.remove(index));
        }
        assertTrue(
            seededLedger.served() <= SETTINGS.maxConnections()
                && seededLedger.rejecting() <= SETTINGS.maxRejecting());
        assertEquals(
            admissions.stream()
                .filter(admission -> admission == ConnectionLedger.Admission.SERVED)
                .count(),
            seededLedger.served());
      }
      for (int index = addresses.size() - 1; index >= 0; index--) {
        seededLedger.release(addresses.get(index), admissions.get(index));
      }
      assertEquals(0, seededLedger.served() + seededLedger.rejecting() + seededLedger.addresses());
    }
  }

  @Test
  void requestsPerKeyAreRateLimitedAndTrackedKeysAreBounded() {
    for (int i = 0; i < 3; i++) {
      assertTrue(ledger.admitRequest("k", now));
    }
    assertFalse(ledger.admitRequest("k", now));
    assertTrue(ledger.admitRequest("other", now));
    assertFalse(ledger.admitRequest("k", now.plus(Span.ofMillis(4999))));
    assertTrue(ledger.admitRequest("k", now.plus(Span.ofSeconds(5))));
    for (int i = 0; i < 1000; i++) {
      ledger.admitRequest("key " + i, now);
    }
    assertEquals(SETTINGS.maxTrackedKeys(), ledger.trackedKeys());
  }

  @Test
  void floodingSenderIsRateLimitedWithoutAffectingOthers() {
    DatagramRateLimiter limiter = new DatagramRateLimiter(100, 4);
    int floodAccepted = 0;
    int quietAccepted = 0;
    for (int ms = 0; ms < 10_000; ms++) {
      now = now.plus(Span.ofMillis(1));
      for (int i = 0; i < 5; i++) {
        floodAccepted += limiter.accept("flood", now) ? 1 : 0;
      }
      quietAccepted += ms % 20 == 0 && limiter.accept("quiet", now) ? 1 : 0;
    }
    assertTrue(floodAccepted <= 100 + 1000 && floodAccepted > 1000, "" + floodAccepted);
    assertEquals(500, quietAccepted);
    assertEquals(50_000 - floodAccepted, limiter.dropped());
    for (int i = 0; i < 1000; i++) {
      limiter.accept("stranger " + i, now);
    }
    assertEquals(4, limiter.senders());
  }

  private ConnectionAttempt openAttempt() {
    return attempts.open(timedOutStates::add);
  }

  @Test
  void silentConnectionTimesOut() {
    run(1);
    openAttempt();
    run(1.9);
    assertEquals(List.of(), timedOutStates);
    run(0.2);
    assertEquals(List.of(ConnectionAttempt.State.FIRST_BYTE), timedOutStates);
    assertEquals(0, attempts.pending());
  }

  @Test
  void slowHeadersTimeOutDespiteSteadyBytes() {
    run(1);
    ConnectionAttempt attempt = openAttempt();
    for (int i = 0; i < 40; i++) {
      run(0.1);
      attempt.byteReceived();
    }
    assertEquals(List.of(ConnectionAttempt.State.HEADERS), timedOutStates);
  }

  @Test
  void idleTimeoutAppliesUnlessTheNextRequestHasStarted() {
    run(1);
    ConnectionAttempt idle = openAttempt();
    ConnectionAttempt pipelining = openAttempt();
    for (ConnectionAttempt attempt : List.of(idle, pipelining)) {
      attempt.byteReceived();
      assertTrue(attempt.requestReceived());
    }
    run(100);
    assertEquals(List.of(), timedOutStates, "no deadline while a response is pending");
    pipelining.byteReceived();
    idle.responseEnded();
    pipelining.responseEnded();
    run(3.1);
    assertEquals(List.of(ConnectionAttempt.State.HEADERS), timedOutStates);
    run(7);
    assertEquals(
        List.of(ConnectionAttempt.State.HEADERS, ConnectionAttempt.State.BETWEEN), timedOutStates);
  }

  @Test
  void pipelinedRequestsAreLimited() {
    ConnectionAttempt attempt = openAttempt();
    assertTrue(attempt.requestReceived() && attempt.requestReceived() && attempt.requestReceived());
    assertFalse(attempt.requestReceived());
    attempt.responseEnded();
    assertTrue(attempt.requestReceived());
  }

  @Test
  void processPauseTimesOutNoConnection() {
    run(1);
    ConnectionAttempt attempt = openAttempt();
    run(1.5);
    ConnectionAttempt silent = openAttempt();
    now = now.plus(Span.ofSeconds(30));
    attempts.tick(clock.tick(now));
    attempt.byteReceived(); // the byte arrived during the pause
    silent.close();
    run(2);
    assertEquals(List.of(), timedOutStates);
    attempt.close();
    assertEquals(0, attempts.pending());
  }
}
