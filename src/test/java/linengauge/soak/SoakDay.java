package linengauge.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import linengauge.standin.FaultyServer;
import linengauge.standin.FaultyServer.Faults;
import linengauge.standin.PlatformJournal;
import linengauge.standin.PlatformTryOut;
import linengauge.standin.PlatformViewers;

/**
 * One short and dense run: a few fronts as real processes with their servers, discovery and
 * clients, and with faults drawn from a seed, several at a time. {@link SoakJudge} finds the rules
 * that were broken.
 */
final class SoakDay implements AutoCloseable {
  private static final int FRONTS = 3;
  private static final int SERVERS = 6;
  private static final int CELLS = 2;
  private static final int FAULT_PHASE_MS = 9000;
  private static final int SETTLING_MS = 2500;
  private static final int TEST_PASSED = 53;
  private static final long MICROS_PER_MS = 1000;

  private record ListedServer(FaultyServer server, int number, int cell, long startedMs) {}

  private final SplittableRandom random;

  /** For the background steps, so that the script depends on the seed alone. */
  private final SplittableRandom backgroundRandom;

  private final SoakTerms terms;
  private final Path folder;
  private final SoakDiscovery discovery;
  private final List<SoakFront> fronts = new ArrayList<>();
  private final List<SoakClients> clients = new ArrayList<>();
  private final List<ListedServer> listedServers = new CopyOnWriteArrayList<>();
  private final List<FaultyServer> servers = new CopyOnWriteArrayList<>();
  private final Map<String, Long> coldSince = new LinkedHashMap<>();
  private final List<Long> discoveryMoves = new CopyOnWriteArrayList<>();
  private final List<CompletableFuture<Void>> backgroundSteps = new CopyOnWriteArrayList<>();
  private final List<String> limitViolations = new CopyOnWriteArrayList<>();

  /** The faults with their times, for whoever investigates a run. */
  private final List<String> script = new CopyOnWriteArrayList<>();

  private final long startedAt = FaultyServer.nowMicros();
  private int lastServerNumber;

  SoakDay(long seed, Path folder) throws IOException {
    this.random = new SplittableRandom(seed);
    this.backgroundRandom = random.split();
    this.terms = SoakTerms.draw(random);
    this.folder = folder;
    this.discovery = new SoakDiscovery(random.split());
    for (int i = 0; i < SERVERS; i++) {
      addServer(0, 0);
    }
    for (int i = 0; i < FRONTS; i++) {
      SoakFront front = new SoakFront(i, PlatformTryOut.freePort(), folder);
      fronts.add(front);
      clients.add(new SoakClients(front, terms, random.split()));
    }
  }

  /** Runs the script and returns the broken rules. */
  List<String> run() throws Exception {
    for (SoakFront front : fronts) {
      start(front);
    }
    for (SoakClients frontClients : clients) {
      Thread thread = new Thread(frontClients, "soak-clients");
      thread.setDaemon(true);
      thread.start();
    }
    long until = FaultyServer.nowMicros() + FAULT_PHASE_MS * MICROS_PER_MS;
    runInBackground(this::restartAll);
    while (FaultyServer.nowMicros() < until) {
      Thread.sleep(80 + random.nextInt(400));
      injectFault();
      checkLimits();
    }
    for (CompletableFuture<Void> step : backgroundSteps) {
      step.join();
    }
    return settle();
  }

  private List<String> settle() throws Exception {
    for (ListedServer target : listedServers) {
      target.server.setFaults(healthy());
    }
    clients.forEach(SoakClients::stopSending);
    // Until the last answers have come and the last sessions have ended.
    Thread.sleep(terms.deadlineMs() + 4000);
    Thread.sleep(SETTLING_MS);
    List<String> orphaned = orphanedRequests();
    for (SoakFront front : fronts) {
      front.requestStop();
    }
    Thread.sleep(terms.killAfterMs());
    for (SoakFront front : fronts) {
      front.kill();
    }
    Thread.sleep(100);
    long endedAt = FaultyServer.nowMicros();
    clients.forEach(SoakClients::stop);
    List<SoakRequest> requests = new ArrayList<>();
    clients.forEach(frontClients -> requests.addAll(frontClients.requests()));
    SoakJudge.Observations observations =
        new SoakJudge.Observations(
            terms,
            fronts,
            requests,
            servers,
            coldSince,
            discovery.removals(),
            discovery.outages(),
            discoveryMoves,
            orphaned,
            endedAt);
    List<String> violations = SoakJudge.judge(observations);
    violations.addAll(limitViolations);
    violations.addAll(loggedCrashes());
    writeScript(requests);
    return violations;
  }

  private void writeScript(List<SoakRequest> requests) throws IOException {
    long answered =
        requests.stream().filter(request -> request.answers.contains("answered")).count();
    long attempts = servers.stream().mapToLong(server -> server.attempts().size()).sum();
    script.add(
        terms
            + ": "
            + requests.size()
            + " requests, "
            + answered
            + " answered, "
            + attempts
            + " attempts");
    Files.write(folder.resolve("script"), script);
  }

  /** The settings and the numbers of requests, answers and attempts, in one line. */
  String summary() {
    return script.get(script.size() - 1);
  }

  /** Requests that are open at a server though their client has left or never got an answer. */
  private List<String> orphanedRequests() {
    Map<String, SoakRequest> byTag = new LinkedHashMap<>();
    clients.forEach(
        frontClients ->
            frontClients.requests().forEach(request -> byTag.put(request.tag, request)));
    List<String> orphaned = new ArrayList<>();
    for (ListedServer target : listedServers) {
      for (String tag : target.server.open()) {
        SoakRequest request = byTag.get(tag);
        boolean wanted = request != null && request.hasSession();
        if (request != null
            && !wanted
            && !request.abandonedByClose
            && !frontWasKilledMeanwhile(request)) {
          orphaned.add(tag + " at " + target.server.id() + ", " + request);
        }
      }
    }
    return orphaned;
  }

  /**
   * Whether the process that the request was sent to was killed later, so that no process knows the
   * attempt.
   */
  private boolean frontWasKilledMeanwhile(SoakRequest request) {
    return fronts.get(request.front).runs.stream()
        .anyMatch(
            run ->
                run.killedAt != SoakFront.ProcessRun.NEVER
                    && run.startedAt < request.sentAt
                    && request.sentAt < run.killedAt);
  }

  private List<String> loggedCrashes() throws IOException {
    List<String> found = new ArrayList<>();
    for (SoakFront front : fronts) {
      for (String line : Files.readAllLines(front.logFile())) {
        if (line.contains("Exception") || line.matches("\\S+ ERROR .*")) {
          found.add("crash front " + front.number + " logged: " + line);
        }
      }
    }
    return found;
  }

  private void checkLimits() {
    for (SoakFront front : fronts) {
      int[] usage = front.isAlive() ? front.usage() : null;
      if (usage != null && (usage[0] > SoakTerms.MEMORY_MB || usage[1] > SoakTerms.DESCRIPTORS)) {
        limitViolations.add("limits front " + front.number + ": " + usage[0] + " MB, " + usage[1]);
      }
    }
  }

  /* ---- faults ---- */

  private void runInBackground(Callable<Void> step) {
    backgroundSteps.add(
        CompletableFuture.runAsync(
            () -> {
              try {
                step.call();
              } catch (Exception e) {
                throw new CompletionException(e);
              }
            },
            job -> {
              Thread thread = new Thread(job, "soak-fault");
              thread.setDaemon(true);
              thread.start();
            }));
  }

  private void addToScript(String text) {
    script.add((FaultyServer.nowMicros() - startedAt) / MICROS_PER_MS + " ms " + text);
  }

  private void injectFault() throws Exception {
    ListedServer target = listedServers.get(random.nextInt(listedServers.size()));
    int durationMs = 200 + random.nextInt(2500);
    switch (random.nextInt(12)) {
      case 0 -> injectFaultFor(target, "hangs", durationMs, target.server::hang);
      case 1 -> injectFaultFor(target, "vanishes", durationMs, () -> vanish(target));
      case 2 -> {
        addToScript(target.server.id() + " resets its connections");
        target.server.resetAll();
      }
      case 3, 4 -> {
        Faults faults = drawFaults();
        addToScript(target.server.id() + " " + faults);
        target.server.setFaults(faults);
      }
      case 5 -> runInBackground(() -> replaceServer(target, durationMs));
      case 6 -> silenceDiscovery(durationMs);
      case 7 -> interruptDiscovery(durationMs);
      case 8 -> moveDiscovery();
      case 9 -> {
        addToScript("a burst of requests");
        clients.get(random.nextInt(clients.size())).scheduleBurst(40 + random.nextInt(120));
      }
      case 10 -> {
        addToScript(target.server.id() + " ends some sessions");
        target.server.endSome(0.5);
      }
      default -> killSomeFront();
    }
  }

  private Faults healthy() {
    return new Faults(0, 0, 0, 0, 0, 1, 10, false, 0);
  }

  private Faults drawFaults() {
    return new Faults(
        random.nextInt(150),
        random.nextDouble() * 0.5,
        random.nextDouble() * 0.2,
        random.nextDouble() * 0.3,
        random.nextDouble() * 0.15,
        1,
        1 + random.nextInt(400),
        random.nextBoolean(),
        random.nextDouble() * 0.3);
  }

  private static void vanish(ListedServer target) {
    try {
      target.server.becomeUnreachable();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void injectFaultFor(ListedServer target, String text, int durationMs, Runnable fault) {
    addToScript(target.server.id() + " " + text + " for " + durationMs + " ms");
    runInBackground(
        () -> {
          fault.run();
          Thread.sleep(durationMs);
          target.server.resume();
          return null;
        });
  }

  private boolean discoveryFaulty;

  private synchronized boolean acquireDiscovery() {
    boolean free = !discoveryFaulty;
    discoveryFaulty = true;
    return free;
  }

  private synchronized void releaseDiscovery() {
    discoveryFaulty = false;
  }

  private void silenceDiscovery(int durationMs) {
    if (acquireDiscovery()) {
      addToScript("discovery silent for " + durationMs + " ms");
      runInBackground(
          () -> {
            discovery.startSilence();
            Thread.sleep(durationMs);
            discovery.endSilence();
            releaseDiscovery();
            return null;
          });
    }
  }

  private void interruptDiscovery(int durationMs) {
    if (acquireDiscovery()) {
      addToScript("discovery down for " + durationMs + " ms");
      runInBackground(
          () -> {
            discovery.stop();
            Thread.sleep(durationMs);
            discovery.restart();
            releaseDiscovery();
            return null;
          });
    }
  }

  /**
   * Moves discovery to a new address; each front then gets the same configuration twice in a row.
   */
  private void moveDiscovery() throws Exception {
    if (acquireDiscovery()) {
      addToScript("discovery moves");
      discovery.move();
      discoveryMoves.add(FaultyServer.nowMicros());
      for (SoakFront front : fronts) {
        runInBackground(() -> reload(front));
      }
      releaseDiscovery();
    }
  }

  /** Reloads a front, as the operators do: never before it is ready nor in its first second. */
  private Void reload(SoakFront front) throws Exception {
    boolean waited = !front.isAlive() || !isReady(front);
    while (!front.isAlive() || !isReady(front)) {
      Thread.sleep(50);
    }
    if (waited) {
      Thread.sleep(1000);
      discoveryMoves.add(FaultyServer.nowMicros());
    }
    for (int i = 0; i < 2 && front.isAlive(); i++) {
      writeConfiguration(front);
      front.reload();
    }
    return null;
  }

  /** Drains, removes and closes a server, and adds a new one at its address or at another one. */
  private Void replaceServer(ListedServer target, int durationMs) throws Exception {
    synchronized (this) {
      if (!listedServers.remove(target) || listedServers.size() < SERVERS / 2) {
        return null;
      }
    }
    addToScript(target.server.id() + " is replaced");
    publish(target, 1);
    Thread.sleep(durationMs);
    publish(target, 2);
    target.server.close();
    Thread.sleep(100);
    addServer(durationMs % 2 == 0 ? target.server.port() : 0, System.currentTimeMillis());
    return null;
  }

  private synchronized void addServer(int port, long startedMs) throws IOException {
    int number = ++lastServerNumber;
    String id = String.format("s-%08x", number);
    FaultyServer server = new FaultyServer(id, backgroundRandom.nextLong(), port, healthy());
    ListedServer added = new ListedServer(server, number, number % CELLS, startedMs);
    servers.add(server);
    listedServers.add(added);
    if (startedMs > 0) {
      coldSince.put(id, FaultyServer.nowMicros());
    }
    publish(added, 0);
  }

  private void publish(ListedServer target, int state) {
    discovery.changed(
        target.server.id(),
        state == 0,
        PlatformJournal.record(
            target.number, target.server.port(), state, target.cell, target.startedMs));
  }

  private void killSomeFront() {
    SoakFront front = fronts.get(random.nextInt(fronts.size()));
    if (random.nextInt(3) > 0) {
      return;
    }
    runInBackground(
        () -> {
          synchronized (front) {
            addToScript("front " + front.number + " is killed");
            front.kill();
            start(front);
          }
          clients.get(front.number).scheduleHandOver();
          return null;
        });
  }

  /**
   * Restarts the fronts one after another, each while the one before is ending; repeats signals.
   */
  private Void restartAll() throws Exception {
    Thread.sleep(1000);
    for (SoakFront front : fronts) {
      runInBackground(() -> restart(front, (front.number + lastServerNumber) % 3));
      Thread.sleep(terms.killAfterMs() / 2);
    }
    return null;
  }

  private Void restart(SoakFront front, int signals) throws Exception {
    synchronized (front) {
      if (!front.isAlive()) {
        return null;
      }
      addToScript("front " + front.number + " is asked to stop");
      front.requestStop();
      for (int i = 0; i < signals; i++) {
        front.signal(i == 0 ? "HUP" : "TERM");
      }
      Thread.sleep(terms.killAfterMs());
      front.kill();
      start(front);
    }
    clients.get(front.number).scheduleHandOver();
    return null;
  }

  /* ---- fronts ---- */

  private void start(SoakFront front) throws Exception {
    writeConfiguration(front);
    front.start();
    for (int i = 0; i < 2000 && !isReady(front); i++) {
      Thread.sleep(10);
    }
  }

  private boolean isReady(SoakFront front) throws InterruptedException {
    try (var viewers = new PlatformViewers(front.port)) {
      viewers.sendProbe();
      PlatformViewers.FrontMessage message = viewers.next(2000);
      return message != null && message.type() == TEST_PASSED;
    } catch (IOException e) {
      return false; // The front is not listening yet, or no longer.
    }
  }

  private synchronized void writeConfiguration(SoakFront front) throws IOException {
    StringBuilder targets = new StringBuilder();
    for (ListedServer target : listedServers) {
      targets
          .append(targets.isEmpty() ? "" : ",")
          .append(
              String.format(
                  "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"hall\",\"model\":\"box\","
                      + "\"pod_group\":%d,\"state\":\"up\",\"capacity_hint\":2,\"boot_ms\":%d}",
                  target.server.id(), target.server.port(), target.cell, target.startedMs));
    }
    int position = discovery.position();
    front.writeConfiguration(
        String.format(
            "{\"name\":\"n%d\",\"listen\":\"127.0.0.1:%d\",\"seed\":\"%x\",\"limits\":{\"cores\":1,"
                + "\"memory_mb\":%d,\"sockets\":%d},\"journal\":\"127.0.0.1:%d\",\"known\":"
                + "{\"pos\":%d,\"entries\":[{\"pos\":%d,\"hosts\":{\"rev\":%d,\"all\":true,"
                + "\"targets\":[%s]}}]},\"settings\":%s}",
            front.number,
            front.port,
            backgroundRandom.nextLong(),
            SoakTerms.MEMORY_MB,
            SoakTerms.DESCRIPTORS,
            discovery.port(),
            position,
            position,
            position,
            targets,
            String.format(terms.settings(), front.number)));
  }

  @Override
  public void close() throws IOException {
    clients.forEach(SoakClients::stop);
    for (SoakFront front : fronts) {
      try {
        front.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (FaultyServer server : servers) {
      server.close();
    }
    discovery.close();
  }
}
