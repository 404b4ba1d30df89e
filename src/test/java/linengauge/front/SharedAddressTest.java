package linengauge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import linengauge.Span;
import linengauge.drill.Ports;
import linengauge.vrrp.Advert;
import linengauge.vrrp.Fitness;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.Packets;
import org.junit.jupiter.api.Test;

/** A front behind a shared address, with a scripted partner. */
class SharedAddressTest {
  private static final Packets PACKETS = new Packets(false);

  /** The other node: says what it is told to, and keeps the priorities that it hears. */
  private static final class Partner implements AutoCloseable {
    private final DatagramSocket socket;
    private final List<Integer> heard = Collections.synchronizedList(new ArrayList<>());
    private final int to;
    private volatile int says = -1;

    private Partner(int port, int to) throws Exception {
      this.to = to;
      socket = new DatagramSocket(port, InetAddress.getByName(Ports.node(1)));
      socket.setSoTimeout(20);
      Thread t = new Thread(this::run, "partner");
      t.setDaemon(true);
      t.start();
    }

    private static NodeAddress address(int node) throws Exception {
      return new NodeAddress(InetAddress.getByName(Ports.node(node)).getAddress());
    }

    private void run() {
      DatagramPacket in = new DatagramPacket(new byte[100], 100);
      while (!socket.isClosed()) {
        try {
          if (says >= 0) {
            byte[] b =
                PACKETS.encode(
                    new Advert(9, says, Span.ofMillis(200), List.of(NodeAddress.of(192, 0, 2, 9))),
                    address(1),
                    address(0));
            socket.send(new DatagramPacket(b, b.length, InetAddress.getByName(Ports.node(0)), to));
          }
          socket.receive(in);
          heard.add(in.getData()[2] & 255);
        } catch (SocketTimeoutException e) {
          continue;
        } catch (Exception e) {
          return; // closed
        }
      }
    }

    @Override
    public void close() {
      socket.close();
    }
  }

  private static String vrrp(List<Integer> ports, String more) throws Exception {
    return "vrrp: { listen: '"
        + Ports.node(0)
        + ":"
        + ports.get(0)
        + "', partners: [ '"
        + Ports.node(1)
        + ":"
        + ports.get(1)
        + "' ], routers: [ { vrid: 9, priority: 100, advertMs: 200, preempt: true, accept: true, addresses: [ '192.0.2.9' ], "
        + "viewers: '"
        + Ports.HOST
        + ":"
        + ports.get(2)
        + "' } ], "
        + more
        + " }";
  }

  private static HttpResponse<String> joins(Rig r, int port) {
    return r.get(port, "/titles/t/main.m3u8?package=plain&patience=3000");
  }

  @Test
  void viewersOfASharedAddressAreTakenWhereItIsHeldAndPlayOnAtTheFrontsOwn() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner p = new Partner(ports.get(1), ports.get(0));
        Rig r = new Rig(1, vrrp(ports, ""))) {
      p.says = 200;
      r.start();
      Rig.until(() -> r.state().getJsonObject("vrrp").getLong("heard", 0L) > 3);
      HttpResponse<String> elsewhere = joins(r, ports.get(2));
      assertEquals(503, elsewhere.statusCode());
      assertEquals(
          0, r.boxes.get(0).saw("PUT"), "nothing is taken at an address that is another's");
      assertEquals(200, joins(r, r.viewers).statusCode(), "its own address is always its own");
      p.says = -1; // the partner has died
      List<HttpResponse<String>> last = new ArrayList<>();
      Rig.until(
          () -> last.add(joins(r, ports.get(2))) && last.get(last.size() - 1).statusCode() == 200);
      HttpResponse<String> plays = last.get(last.size() - 1);
      String own = "http://" + Ports.HOST + ":" + r.viewers;
      String media =
          plays.body().lines().filter(l -> l.startsWith(own + "/v/")).findFirst().orElseThrow();
      // A better one comes: the address goes, what plays stays.
      p.says = 200;
      Rig.until(() -> joins(r, ports.get(2)).statusCode() == 503);
      assertEquals(200, r.get(r.viewers, media.substring(own.length())).statusCode());
    }
  }

  @Test
  void aFrontThatIsToldToEndGivesTheAddressUpAtOnceAndPlaysOnAtItsOwn() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner p = new Partner(ports.get(1), ports.get(0));
        Rig r = new Rig(1, vrrp(ports, "") + ", stop: { playingMs: 60000 }")) {
      r.start();
      Rig.until(() -> joins(r, ports.get(2)).statusCode() == 200);
      HttpResponse<String> plays = r.join("&key=last");
      CompletableFuture<Void> stop = CompletableFuture.runAsync(r.front::stop);
      Rig.until(() -> p.heard.contains(0));
      stop.get();
      int zero = p.heard.indexOf(0);
      Thread.sleep(300);
      List<Integer> then = List.copyOf(p.heard);
      assertTrue(
          then.subList(zero, then.size()).stream().allMatch(x -> x == 0),
          "after giving up " + then);
      assertTrue(then.size() - zero > 1, "a goodbye that is lost is said again");
      assertEquals(200, r.get(r.viewers, Rig.path(plays)).statusCode());
      assertEquals(503, joins(r, ports.get(2)).statusCode());
      r.endAll();
    }
  }

  @Test
  void anAnswerThatIsOwedWhenTheAddressGoesIsStillGiven() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner p = new Partner(ports.get(1), ports.get(0));
        Rig r = new Rig(1, vrrp(ports, "")).start()) {
      Rig.until(() -> joins(r, ports.get(2)).statusCode() == 200);
      List<io.vertx.core.http.HttpServerRequest> held =
          Collections.synchronizedList(new ArrayList<>());
      r.boxes.get(0).setUps = held::add;
      CompletableFuture<HttpResponse<String>> waits =
          CompletableFuture.supplyAsync(() -> joins(r, ports.get(2)));
      Rig.until(() -> !held.isEmpty());
      p.says = 200;
      Rig.until(() -> router(r).getString("state").equals("BACKUP"));
      // Where this took long, the module has withdrawn the first set-up and tries others.
      r.boxes.get(0).setUps = r.boxes.get(0)::plays;
      List.copyOf(held)
          .forEach(
              q -> {
                if (!q.response().closed()) {
                  r.boxes.get(0).plays(q);
                }
              });
      assertEquals(200, waits.get().statusCode());
    }
  }

  @Test
  void connectionsThatRestAtTheAddressAreClosedWhenItGoes() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner p = new Partner(ports.get(1), ports.get(0));
        Rig r = new Rig(1, vrrp(ports, "")).start();
        Socket rests = new Socket(Ports.HOST, ports.get(2))) {
      Rig.until(() -> joins(r, ports.get(2)).statusCode() == 200);
      rests.setSoTimeout(10_000); // under the bound after which one that rests is closed anyway
      rests
          .getOutputStream()
          .write("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals('H', rests.getInputStream().read());
      p.says = 200;
      while (rests.getInputStream().read() >= 0) {
        continue; // the rest of its answer, and then the end
      }
    }
  }

  @Test
  void aRequestThatWasOnItsWayWhenTheAddressWentHearsAnAnswerAndNoBreak() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner p = new Partner(ports.get(1), ports.get(0));
        Rig r = new Rig(1, vrrp(ports, "")).start()) {
      Rig.until(() -> joins(r, ports.get(2)).statusCode() == 200);
      try (Socket comes = new Socket(Ports.HOST, ports.get(2))) {
        int connections = r.state().getInteger("viewerConnections");
        assertTrue(connections > 0);
        p.says = 200;
        Rig.until(() -> router(r).getString("state").equals("BACKUP"));
        comes
            .getOutputStream()
            .write(
                ("GET /titles/t/main.m3u8?package=plain HTTP/1.1\r\nHost: x\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        String all = new String(comes.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(
            all.startsWith("HTTP/1.1 503") && all.contains("retry-after")
                || all.contains("Retry-After"),
            all);
      }
    }
  }

  private static io.vertx.core.json.JsonObject router(Rig r) {
    return r.state().getJsonObject("vrrp").getJsonArray("routers").getJsonObject(0);
  }

  @Test
  void aFrontThatSeesNoServingBoxFallsBehindItsPartner() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner p = new Partner(ports.get(1), ports.get(0));
        Rig r = new Rig(1, vrrp(ports, "unwellMinus: 60, unwellAfterMs: 50")).start()) {
      p.says = 80;
      Rig.until(() -> p.heard.contains(100));
      r.list.publish(r.boxes.get(0).place, "s", "draining", 0);
      Rig.until(
          () ->
              router(r).getBoolean("unwell")
                  && router(r).getInteger("priority") == 40
                  && router(r).getString("state").equals("BACKUP"));
      r.list.publish(r.boxes.get(0).place, "s", "serving", 0);
      Rig.until(
          () -> !router(r).getBoolean("unwell") && router(r).getString("state").equals("ACTIVE"));
    }
  }

  @Test
  void aDeskThatDoesNotComeRoundIsUnwellWhereThatIsBounded() {
    assertTrue(new Fitness(3, Span.ofMillis(400), Span.ofMillis(400)).isUnwell());
    assertFalse(new Fitness(3, Span.ofMillis(399), Span.ofMillis(400)).isUnwell());
    assertFalse(new Fitness(3, Span.ofMillis(10_000), Span.NONE).isUnwell());
  }

  @Test
  void aKeyThatIsMissingOrShortStopsTheStart() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Rig r = new Rig(1, vrrp(ports, "keyFile: 'no-such-file'"))) {
      assertTrue(
          assertThrows(Exception.class, r::start)
              .toString()
              .contains("vrrp.keyFile cannot be read"));
      r.front = null;
    }
    Path key = Files.createTempFile("linengauge", ".key");
    Files.writeString(key, "short\n");
    try (Rig r = new Rig(1, vrrp(ports, "keyFile: '" + key + "'"))) {
      assertTrue(
          assertThrows(Exception.class, r::start).toString().contains("fewer than 16 bytes"));
      r.front = null;
    } finally {
      Files.delete(key);
    }
  }
}
