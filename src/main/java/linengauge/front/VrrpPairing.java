package linengauge.front;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import linengauge.site.Site;
import linengauge.vrrp.udp.Lease;
import linengauge.vrrp.udp.UdpNode;
import linengauge.vrrp.udp.UdpTerms;

/** Pairing with other fronts that share addresses; where the site file asks for none, idle. */
final class VrrpPairing {
  /** Null where no address is shared. */
  private final UdpNode node;

  /**
   * Binds where partners are heard; the front takes part from {@link #start} on.
   *
   * @param gaveUp told of a shared address that is this front's no more
   * @param unwell whether this front is to leave shared addresses to others
   */
  VrrpPairing(Site site, Consumer<Lease> gaveUp, BooleanSupplier unwell) throws IOException {
    Site.Vrrp vrrp = site.vrrp();
    this.node =
        vrrp.routers().isEmpty()
            ? null
            : new UdpNode(terms(site, vrrp), owner(gaveUp), unwell::getAsBoolean);
  }

  private static UdpTerms terms(Site site, Site.Vrrp vrrp) throws IOException {
    byte[] key = vrrp.keyFile() == null ? null : KeyFile.read(vrrp.keyFile(), "vrrp.keyFile");
    return new UdpTerms(
        socket(vrrp.listen()),
        vrrp.partners().stream().map(VrrpPairing::socket).toList(),
        vrrp.group() == null ? null : socket(vrrp.group()),
        vrrp.groupInterface(),
        vrrp.announce() == null ? null : socket(vrrp.announce()),
        key,
        vrrp.ipv4PseudoHeader(),
        vrrp.datagramsAtOnce(),
        vrrp.receiveBytes(),
        site.routers());
  }

  private UdpNode.Owner owner(Consumer<Lease> gaveUp) {
    return new UdpNode.Owner() {
      @Override
      public void took(int vrid) {
        // the lease lets viewers in
      }

      @Override
      public void gaveUp(int vrid) {
        gaveUp.accept(lease(vrid));
      }
    };
  }

  private static InetSocketAddress socket(String address) {
    Site.Address at = Site.Address.parse(address);
    return new InetSocketAddress(at.host(), at.port());
  }

  /** Whether the shared address of a virtual router is this front's. */
  Lease lease(int vrid) {
    return node.lease(vrid);
  }

  void start() {
    if (node != null) {
      node.start();
    }
  }

  /** Partners take over at once. */
  void close() {
    if (node != null) {
      node.close();
    }
  }

  /** Partners find out that this front is gone. */
  void leave() {
    if (node != null) {
      node.leave();
    }
  }

  JsonObject state() {
    return node == null ? new JsonObject() : new JsonObject(node.state());
  }
}
