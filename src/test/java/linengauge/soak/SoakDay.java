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
 * One short dense day: a few fronts as real processes, their servers, discovery and clients, with
 * faults drawn from a seed, several at once. What was broken is told by {@link SoakJudge}.
 */
final class SoakDay implements AutoCloseable {
  private static final int FRONTS = 3;
  private static final int SERVERS = 6;
  private static final int CELLS = 2;
  private static final int FAULTY_MS = 9000;
  private static final int SETTLES_MS = 2500;
  private static final int TEST_PASSED = 53;
  private static final long MICROS = 1000;

  private record Listed(FaultyServer server, int number, int cell, long startedMs) {}

  private final SplittableRandom chance;

  /** For what runs beside the script, so that this depends on the seed alone. */
  private final SplittableRandom asideChance;

  private final SoakTerms terms;
  private final Path folder;
  private final SoakDiscovery discovery;
  private final List<SoakFront> fronts = new ArrayList<>();
  private final List<SoakClients> clients = new ArrayList<>();
  private final List<Listed> listed = new CopyOnWriteArrayList<>();
  private final List<FaultyServer> servers = new CopyOnWriteArrayList<>();
  private final Map<String, Long> coldSince = new LinkedHashMap<>();
  private final List<Long> moves = new CopyOnWriteArrayList<>();
  private final List<CompletableFuture<Void>> under = new CopyOnWriteArrayList<>();
  private final List<String> limits = new CopyOnWriteArrayList<>();

  /** What was done, with its time; for whoever looks into a day. */
  private final List<String> script = new CopyOnWriteArrayList<>();

  private final long begunAt = FaultyServer.nowMicros();
  private int serverNumber;

  SoakDay(long seed, Path folder) throws IOException {
    this.chance = new SplittableRandom(seed);
    this.asideChance = chance.split();
    this.terms = SoakTerms.draw(chance);
    this.folder = folder;
    this.discovery = new SoakDiscovery(chance.split());
    for (int i = 0; i < SERVERS; i++) {
      addServer(0, 0);
    }
    for (int i = 0; i < FRONTS; i++) {
      SoakFront front = new SoakFront(i, PlatformTryOut.freePort(), folder);
      fronts.add(front);
      clients.add(new SoakClients(front, terms, chance.split()));
    }
  }

  /** Plays the day and returns what was broken. */
  List<String> play() throws Exception {
    for (SoakFront front : fronts) {
      start(front);
    }
    for (SoakClients of : clients) {
      Thread thread = new Thread(of, "soak-clients");
      thread.setDaemon(true);
      thread.start();
    }
    long until = FaultyServer.nowMicros() + FAULTY_MS * MICROS;
    aside(this::restartAll);
    while (FaultyServer.nowMicros() < until) {
      Thread.sleep(80 + chance.nextInt(400));
      oneFault();
      sampleLimits();
    }
    for (CompletableFuture<Void> step : under) {
      step.join();
    }
    return settle();
  }

  private List<String> settle() throws Exception {
    for (Listed one : listed) {
      one.server.setFaults(healthy());
    }
    clients.forEach(SoakClients::stopAsking);
    Thread.sleep(terms.deadlineMs() + 4000); // the last answers, and the last sessions' ends
    Thread.sleep(SETTLES_MS);
    List<String> standing = standing();
    for (SoakFront front : fronts) {
      front.tellToStop();
    }
    Thread.sleep(terms.killAfterMs());
    for (SoakFront front : fronts) {
      front.kill();
    }
    Thread.sleep(100);
    long endedAt = FaultyServer.nowMicros();
    clients.forEach(SoakClients::stop);
    List<SoakRequest> requests = new ArrayList<>();
    clients.forEach(of -> requests.addAll(of.requests()));
    SoakJudge.Day day =
        new SoakJudge.Day(
            terms,
            fronts,
            requests,
            servers,
            coldSince,
            discovery.withdrawn(),
            discovery.outages(),
            moves,
            standing,
            endedAt);
    List<String> broken = SoakJudge.judge(day);
    broken.addAll(limits);
    broken.addAll(crashesLogged());
    figures(requests);
    return broken;
  }

  private void figures(List<SoakRequest> requests) throws IOException {
    long answered = requests.stream().filter(r -> r.answers.contains("answered")).count();
    long attempts = servers.stream().mapToLong(s -> s.attempts().size()).sum();
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

  /** What was asked, answered and done, in one line. */
  String summary() {
    return script.get(script.size() - 1);
  }

  /** Requests that stand at a server though their client has left, or never heard of it. */
  private List<String> standing() {
    Map<String, SoakRequest> byTag = new LinkedHashMap<>();
    clients.forEach(of -> of.requests().forEach(r -> byTag.put(r.tag, r)));
    List<String> standing = new ArrayList<>();
    for (Listed one : listed) {
      for (String tag : one.server.open()) {
        SoakRequest request = byTag.get(tag);
        boolean wanted = request != null && request.stands();
        if (request != null && !wanted && !request.leftByClose && !diedMeanwhile(request)) {
          standing.add(tag + " at " + one.server.id() + ", " + request);
        }
      }
    }
    return standing;
  }

  /** Its front was killed while it was out: nobody is left who knows of the attempt. */
  private boolean diedMeanwhile(SoakRequest request) {
    return fronts.get(request.front).lives.stream()
        .anyMatch(
            life ->
                life.killedAt != SoakFront.Life.NEVER
                    && life.startedAt < request.sentAt
                    && request.sentAt < life.killedAt);
  }

  private List<String> crashesLogged() throws IOException {
    List<String> found = new ArrayList<>();
    for (SoakFront front : fronts) {
      for (String line : Files.readAllLines(front.log())) {
        if (line.contains("Exception") || line.matches("\\S+ ERROR .*")) {
          found.add("crash front " + front.number + " logged: " + line);
        }
      }
    }
    return found;
  }

  private void sampleLimits() {
    for (SoakFront front : fronts) {
      int[] usage = front.isAlive() ? front.usage() : null;
      if (usage != null && (usage[0] > SoakTerms.MEMORY_MB || usage[1] > SoakTerms.DESCRIPTORS)) {
        limits.add("limits front " + front.number + ": " + usage[0] + " MB, " + usage[1]);
      }
    }
  }

  /* ---- faults ---- */

  private void aside(Callable<Void> step) {
    under.add(
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

  private void note(String what) {
    script.add((FaultyServer.nowMicros() - begunAt) / MICROS + " ms " + what);
  }

  private void oneFault() throws Exception {
    Listed one = listed.get(chance.nextInt(listed.size()));
    int span = 200 + chance.nextInt(2500);
    switch (chance.nextInt(12)) {
      case 0 -> forAWhile(one, "hangs", span, one.server::hang);
      case 1 -> forAWhile(one, "vanishes", span, () -> vanish(one));
      case 2 -> {
        note(one.server.id() + " resets its connections");
        one.server.resetAll();
      }
      case 3, 4 -> {
        Faults faults = drawFaults();
        note(one.server.id() + " " + faults);
        one.server.setFaults(faults);
      }
      case 5 -> aside(() -> replace(one, span));
      case 6 -> silence(span);
      case 7 -> outage(span);
      case 8 -> moveDiscovery();
      case 9 -> {
        note("a crowd");
        clients.get(chance.nextInt(clients.size())).burst(40 + chance.nextInt(120));
      }
      case 10 -> {
        note(one.server.id() + " ends some sessions");
        one.server.endSome(0.5);
      }
      default -> killOutright();
    }
  }

  private Faults healthy() {
    return new Faults(0, 0, 0, 0, 0, 1, 10, false, 0);
  }

  private Faults drawFaults() {
    return new Faults(
        chance.nextInt(150),
        chance.nextDouble() * 0.5,
        chance.nextDouble() * 0.2,
        chance.nextDouble() * 0.3,
        chance.nextDouble() * 0.15,
        1,
        1 + chance.nextInt(400),
        chance.nextBoolean(),
        chance.nextDouble() * 0.3);
  }

  private static void vanish(Listed one) {
    try {
      one.server.becomeUnreachable();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void forAWhile(Listed one, String what, int ms, Runnable fault) {
    note(one.server.id() + " " + what + " for " + ms + " ms");
    aside(
        () -> {
          fault.run();
          Thread.sleep(ms);
          one.server.resume();
          return null;
        });
  }

  private boolean discoveryFaulty;

  private synchronized boolean takeDiscovery() {
    boolean free = !discoveryFaulty;
    discoveryFaulty = true;
    return free;
  }

  private synchronized void giveDiscoveryBack() {
    discoveryFaulty = false;
  }

  private void silence(int ms) {
    if (takeDiscovery()) {
      note("discovery silent for " + ms + " ms");
      aside(
          () -> {
            discovery.fallSilent();
            Thread.sleep(ms);
            discovery.speakAgain();
            giveDiscoveryBack();
            return null;
          });
    }
  }

  private void outage(int ms) {
    if (takeDiscovery()) {
      note("discovery down for " + ms + " ms");
      aside(
          () -> {
            discovery.goDown();
            Thread.sleep(ms);
            discovery.comeBack();
            giveDiscoveryBack();
            return null;
          });
    }
  }

  /** A new address, and then the same configuration once more, in quick succession. */
  private void moveDiscovery() throws Exception {
    if (takeDiscovery()) {
      note("discovery moves");
      discovery.move();
      moves.add(FaultyServer.nowMicros());
      for (SoakFront front : fronts) {
        aside(() -> reload(front));
      }
      giveDiscoveryBack();
    }
  }

  /** Not before it is ready, nor in its first second, as the operators do. */
  private Void reload(SoakFront front) throws Exception {
    boolean young = !front.isAlive() || !ready(front);
    while (!front.isAlive() || !ready(front)) {
      Thread.sleep(50);
    }
    if (young) {
      Thread.sleep(1000);
      moves.add(FaultyServer.nowMicros());
    }
    for (int i = 0; i < 2 && front.isAlive(); i++) {
      post(front);
      front.reload();
    }
    return null;
  }

  /** A server drains, is gone, dies, and a new one comes, at its address or another one. */
  private Void replace(Listed one, int ms) throws Exception {
    synchronized (this) {
      if (!listed.remove(one) || listed.size() < SERVERS / 2) {
        return null;
      }
    }
    note(one.server.id() + " is replaced");
    tell(one, 1);
    Thread.sleep(ms);
    tell(one, 2);
    one.server.close();
    Thread.sleep(100);
    addServer(ms % 2 == 0 ? one.server.port() : 0, System.currentTimeMillis());
    return null;
  }

  private synchronized void addServer(int port, long startedMs) throws IOException {
    int number = ++serverNumber;
    String id = String.format("s-%08x", number);
    FaultyServer server = new FaultyServer(id, asideChance.nextLong(), port, healthy());
    Listed one = new Listed(server, number, number % CELLS, startedMs);
    servers.add(server);
    listed.add(one);
    if (startedMs > 0) {
      coldSince.put(id, FaultyServer.nowMicros());
    }
    tell(one, 0);
  }

  private void tell(Listed one, int state) {
    discovery.changed(
        one.server.id(),
        state == 0,
        PlatformJournal.record(one.number, one.server.port(), state, one.cell, one.startedMs));
  }

  private void killOutright() {
    SoakFront front = fronts.get(chance.nextInt(fronts.size()));
    if (chance.nextInt(3) > 0) {
      return;
    }
    aside(
        () -> {
          synchronized (front) {
            note("front " + front.number + " is killed");
            front.kill();
            start(front);
          }
          clients.get(front.number).handOver();
          return null;
        });
  }

  /** One after another, each told while the one before still ends; signals in series. */
  private Void restartAll() throws Exception {
    Thread.sleep(1000);
    for (SoakFront front : fronts) {
      aside(() -> restart(front, (front.number + serverNumber) % 3));
      Thread.sleep(terms.killAfterMs() / 2);
    }
    return null;
  }

  private Void restart(SoakFront front, int signals) throws Exception {
    synchronized (front) {
      if (!front.isAlive()) {
        return null;
      }
      note("front " + front.number + " is told to stop");
      front.tellToStop();
      for (int i = 0; i < signals; i++) {
        front.signal(i == 0 ? "HUP" : "TERM");
      }
      Thread.sleep(terms.killAfterMs());
      front.kill();
      start(front);
    }
    clients.get(front.number).handOver();
    return null;
  }

  /* ---- fronts ---- */

  private void start(SoakFront front) throws Exception {
    post(front);
    front.start();
    for (int i = 0; i < 2000 && !ready(front); i++) {
      Thread.sleep(10);
    }
  }

  private boolean ready(SoakFront front) throws InterruptedException {
    try (var viewers = new PlatformViewers(front.port)) {
      viewers.sendProbe();
      PlatformViewers.FrontMessage said = viewers.next(2000);
      return said != null && said.type() == TEST_PASSED;
    } catch (IOException e) {
      return false; // not listening yet, or any more
    }
  }

  private synchronized void post(SoakFront front) throws IOException {
    StringBuilder targets = new StringBuilder();
    for (Listed one : listed) {
      targets
          .append(targets.isEmpty() ? "" : ",")
          .append(
              String.format(
                  "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"hall\",\"model\":\"box\","
                      + "\"pod_group\":%d,\"state\":\"up\",\"capacity_hint\":2,\"boot_ms\":%d}",
                  one.server.id(), one.server.port(), one.cell, one.startedMs));
    }
    int position = discovery.position();
    front.post(
        String.format(
            "{\"name\":\"n%d\",\"listen\":\"127.0.0.1:%d\",\"seed\":\"%x\",\"limits\":{\"cores\":1,"
                + "\"memory_mb\":%d,\"sockets\":%d},\"journal\":\"127.0.0.1:%d\",\"known\":"
                + "{\"pos\":%d,\"entries\":[{\"pos\":%d,\"hosts\":{\"rev\":%d,\"all\":true,"
                + "\"targets\":[%s]}}]},\"settings\":%s}",
            front.number,
            front.port,
            asideChance.nextLong(),
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
