package linengauge.front;

import static linengauge.front.FrontFixture.viewingPath;
import static linengauge.front.FrontFixture.waitUntil;
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
import linengauge.vrrp.Advertisement;
import linengauge.vrrp.FrontHealth;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.PacketCodec;
import org.junit.jupiter.api.Test;

/** A front behind a shared address, with a scripted partner. */
class SharedAddressTest {
  private static final PacketCodec PACKETS = new PacketCodec(false);

  /**
   * The other VRRP node: advertises a priority (none where it is negative) and records the
   * priorities that it receives.
   */
  private static final class Partner implements AutoCloseable {
    private final DatagramSocket socket;
    private final List<Integer> receivedPriorities =
        Collections.synchronizedList(new ArrayList<>());
    private final int targetPort;
    private volatile int advertisedPriority = -1;

    private Partner(int port, int targetPort) throws Exception {
      this.targetPort = targetPort;
      socket = new DatagramSocket(port, InetAddress.getByName(Ports.nodeAddress(1)));
      socket.setSoTimeout(20);
      Thread thread = new Thread(this::run, "partner");
      thread.setDaemon(true);
      thread.start();
    }

    private static NodeAddress address(int node) throws Exception {
      return new NodeAddress(InetAddress.getByName(Ports.nodeAddress(node)).getAddress());
    }

    private void run() {
      DatagramPacket received = new DatagramPacket(new byte[100], 100);
      while (!socket.isClosed()) {
        try {
          if (advertisedPriority >= 0) {
            byte[] packet =
                PACKETS.encode(
                    new Advertisement(
                        9,
                        advertisedPriority,
                        Span.ofMillis(200),
                        List.of(NodeAddress.of(192, 0, 2, 9))),
                    address(1),
                    address(0));
            socket.send(
                new DatagramPacket(
                    packet,
                    packet.length,
                    InetAddress.getByName(Ports.nodeAddress(0)),
                    targetPort));
          }
          socket.receive(received);
          receivedPriorities.add(received.getData()[2] & 255);
        } catch (SocketTimeoutException e) {
          continue;
        } catch (Exception e) {
          return; // the socket is closed
        }
      }
    }

    @Override
    public void close() {
      socket.close();
    }
  }

  private static String vrrpSettings(List<Integer> ports, String extraSettings) throws Exception {
    return "vrrp: { listen: '"
        + Ports.nodeAddress(0)
        + ":"
        + ports.get(0)
        + "', partners: [ '"
        + Ports.nodeAddress(1)
        + ":"
        + ports.get(1)
        + "' ], routers: [ { vrid: 9, priority: 100, advertMs: 200, preempt: true, accept: true, addresses: [ '192.0.2.9' ], "
        + "viewers: '"
        + Ports.HOST
        + ":"
        + ports.get(2)
        + "' } ], "
        + extraSettings
        + " }";
  }

  private static HttpResponse<String> requestViewing(FrontFixture fixture, int port) {
    return fixture.get(port, "/titles/t/main.m3u8?package=plain&patience=3000");
  }

  @Test
  void viewersAreServedAtTheSharedAddressWhileItIsHeldAndKeepPlayingAtTheOwnAddress()
      throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner partner = new Partner(ports.get(1), ports.get(0));
        FrontFixture fixture = new FrontFixture(1, vrrpSettings(ports, ""))) {
      partner.advertisedPriority = 200;
      fixture.start();
      waitUntil(() -> fixture.state().getJsonObject("vrrp").getLong("heard", 0L) > 3);
      HttpResponse<String> rejected = requestViewing(fixture, ports.get(2));
      assertEquals(503, rejected.statusCode());
      assertEquals(
          0,
          fixture.boxes.get(0).countEvents("PUT"),
          "no request is accepted at an address that another front holds");
      assertEquals(
          200,
          requestViewing(fixture, fixture.viewerPort).statusCode(),
          "the front's own address is always served");
      partner.advertisedPriority = -1; // the partner stops advertising
      List<HttpResponse<String>> responses = new ArrayList<>();
      waitUntil(
          () ->
              responses.add(requestViewing(fixture, ports.get(2)))
                  && responses.get(responses.size() - 1).statusCode() == 200);
      HttpResponse<String> playing = responses.get(responses.size() - 1);
      String own = "http://" + Ports.HOST + ":" + fixture.viewerPort;
      String media =
          playing.body().lines().filter(l -> l.startsWith(own + "/v/")).findFirst().orElseThrow();
      // A partner of higher priority takes the address over; running viewings continue.
      partner.advertisedPriority = 200;
      waitUntil(() -> requestViewing(fixture, ports.get(2)).statusCode() == 503);
      assertEquals(
          200, fixture.get(fixture.viewerPort, media.substring(own.length())).statusCode());
    }
  }

  @Test
  void aStoppingFrontReleasesTheAddressAtOnceAndKeepsPlayingAtItsOwn() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner partner = new Partner(ports.get(1), ports.get(0));
        FrontFixture fixture =
            new FrontFixture(1, vrrpSettings(ports, "") + ", stop: { playingMs: 60000 }")) {
      fixture.start();
      waitUntil(() -> requestViewing(fixture, ports.get(2)).statusCode() == 200);
      HttpResponse<String> playing = fixture.requestViewing("&key=last");
      CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture.front::stop);
      waitUntil(() -> partner.receivedPriorities.contains(0));
      stop.get();
      int firstZero = partner.receivedPriorities.indexOf(0);
      Thread.sleep(300);
      List<Integer> priorities = List.copyOf(partner.receivedPriorities);
      assertTrue(
          priorities.subList(firstZero, priorities.size()).stream().allMatch(x -> x == 0),
          "priorities after the release: " + priorities);
      assertTrue(
          priorities.size() - firstZero > 1, "the release is repeated, as a datagram may be lost");
      assertEquals(200, fixture.get(fixture.viewerPort, viewingPath(playing)).statusCode());
      assertEquals(503, requestViewing(fixture, ports.get(2)).statusCode());
      fixture.endAll();
    }
  }

  @Test
  void aPendingRequestIsAnsweredAfterTheAddressIsLost() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner partner = new Partner(ports.get(1), ports.get(0));
        FrontFixture fixture = new FrontFixture(1, vrrpSettings(ports, "")).start()) {
      waitUntil(() -> requestViewing(fixture, ports.get(2)).statusCode() == 200);
      List<io.vertx.core.http.HttpServerRequest> pendingSetUps =
          Collections.synchronizedList(new ArrayList<>());
      fixture.boxes.get(0).setUpHandler = pendingSetUps::add;
      CompletableFuture<HttpResponse<String>> pendingResponse =
          CompletableFuture.supplyAsync(() -> requestViewing(fixture, ports.get(2)));
      waitUntil(() -> !pendingSetUps.isEmpty());
      partner.advertisedPriority = 200;
      waitUntil(() -> routerState(fixture).getString("state").equals("BACKUP"));
      // If this took long, the module has cancelled the first set-up and sends others.
      fixture.boxes.get(0).setUpHandler = fixture.boxes.get(0)::acceptSetUp;
      List.copyOf(pendingSetUps)
          .forEach(
              request -> {
                if (!request.response().closed()) {
                  fixture.boxes.get(0).acceptSetUp(request);
                }
              });
      assertEquals(200, pendingResponse.get().statusCode());
    }
  }

  @Test
  void idleConnectionsAreClosedWhenTheAddressIsLost() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner partner = new Partner(ports.get(1), ports.get(0));
        FrontFixture fixture = new FrontFixture(1, vrrpSettings(ports, "")).start();
        Socket idle = new Socket(Ports.HOST, ports.get(2))) {
      waitUntil(() -> requestViewing(fixture, ports.get(2)).statusCode() == 200);
      // Below the time limit after which an idle connection is closed anyway.
      idle.setSoTimeout(10_000);
      idle.getOutputStream()
          .write("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals('H', idle.getInputStream().read());
      partner.advertisedPriority = 200;
      while (idle.getInputStream().read() >= 0) {
        continue; // the rest of the response, then the end of the stream
      }
    }
  }

  @Test
  void aRequestInTransitWhenTheAddressIsLostIsAnswered() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner partner = new Partner(ports.get(1), ports.get(0));
        FrontFixture fixture = new FrontFixture(1, vrrpSettings(ports, "")).start()) {
      waitUntil(() -> requestViewing(fixture, ports.get(2)).statusCode() == 200);
      try (Socket connection = new Socket(Ports.HOST, ports.get(2))) {
        int connections = fixture.state().getInteger("viewerConnections");
        assertTrue(connections > 0);
        partner.advertisedPriority = 200;
        waitUntil(() -> routerState(fixture).getString("state").equals("BACKUP"));
        connection
            .getOutputStream()
            .write(
                ("GET /titles/t/main.m3u8?package=plain HTTP/1.1\r\nHost: x\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        String response =
            new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(
            response.startsWith("HTTP/1.1 503") && response.contains("retry-after")
                || response.contains("Retry-After"),
            response);
      }
    }
  }

  private static io.vertx.core.json.JsonObject routerState(FrontFixture fixture) {
    return fixture.state().getJsonObject("vrrp").getJsonArray("routers").getJsonObject(0);
  }

  @Test
  void aFrontWithoutServingBoxesLowersItsPriority() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (Partner partner = new Partner(ports.get(1), ports.get(0));
        FrontFixture fixture =
            new FrontFixture(1, vrrpSettings(ports, "unwellMinus: 60, unwellAfterMs: 50"))
                .start()) {
      partner.advertisedPriority = 80;
      waitUntil(() -> partner.receivedPriorities.contains(100));
      fixture.discovery.publish(fixture.boxes.get(0).place, "s", "draining", 0);
      waitUntil(
          () ->
              routerState(fixture).getBoolean("unwell")
                  && routerState(fixture).getInteger("priority") == 40
                  && routerState(fixture).getString("state").equals("BACKUP"));
      fixture.discovery.publish(fixture.boxes.get(0).place, "s", "serving", 0);
      waitUntil(
          () ->
              !routerState(fixture).getBoolean("unwell")
                  && routerState(fixture).getString("state").equals("ACTIVE"));
    }
  }

  @Test
  void aDelayedSessionLoopIsUnfitWhereALimitIsSet() {
    assertTrue(new FrontHealth(3, Span.ofMillis(400), Span.ofMillis(400)).isUnhealthy());
    assertFalse(new FrontHealth(3, Span.ofMillis(399), Span.ofMillis(400)).isUnhealthy());
    assertFalse(new FrontHealth(3, Span.ofMillis(10_000), Span.NONE).isUnhealthy());
  }

  @Test
  void aMissingOrShortKeyFailsTheStart() throws Exception {
    List<Integer> ports = Ports.free(3);
    try (FrontFixture fixture =
        new FrontFixture(1, vrrpSettings(ports, "keyFile: 'no-such-file'"))) {
      assertTrue(
          assertThrows(Exception.class, fixture::start)
              .toString()
              .contains("vrrp.keyFile cannot be read"));
      fixture.front = null;
    }
    Path key = Files.createTempFile("linengauge", ".key");
    Files.writeString(key, "short\n");
    try (FrontFixture fixture =
        new FrontFixture(1, vrrpSettings(ports, "keyFile: '" + key + "'"))) {
      assertTrue(
          assertThrows(Exception.class, fixture::start).toString().contains("fewer than 16 bytes"));
      fixture.front = null;
    } finally {
      Files.delete(key);
    }
  }
}
