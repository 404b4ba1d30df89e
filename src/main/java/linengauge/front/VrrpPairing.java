package linengauge.front;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import linengauge.site.Site;
import linengauge.vrrp.udp.AddressLease;
import linengauge.vrrp.udp.UdpNode;
import linengauge.vrrp.udp.UdpNodeSettings;

/** VRRP with other fronts that share addresses; inactive where the site file configures none. */
final class VrrpPairing {
  /** Null where no address is shared. */
  private final UdpNode node;

  /**
   * Binds the socket on which partners send. The front takes part from {@link #start} on.
   *
   * @param onAddressLost called with the lease of a shared address that this front no longer holds
   * @param unfit whether this front should leave shared addresses to others
   */
  VrrpPairing(Site site, Consumer<AddressLease> onAddressLost, BooleanSupplier unfit)
      throws IOException {
    Site.Vrrp vrrp = site.vrrp();
    this.node =
        vrrp.routers().isEmpty()
            ? null
            : new UdpNode(settings(site, vrrp), owner(onAddressLost), unfit::getAsBoolean);
  }

  private static UdpNodeSettings settings(Site site, Site.Vrrp vrrp) throws IOException {
    byte[] key = vrrp.keyFile() == null ? null : KeyFile.read(vrrp.keyFile(), "vrrp.keyFile");
    return new UdpNodeSettings(
        socketAddress(vrrp.listen()),
        vrrp.partners().stream().map(VrrpPairing::socketAddress).toList(),
        vrrp.group() == null ? null : socketAddress(vrrp.group()),
        vrrp.groupInterface(),
        vrrp.announce() == null ? null : socketAddress(vrrp.announce()),
        key,
        vrrp.ipv4PseudoHeader(),
        vrrp.datagramsAtOnce(),
        vrrp.receiveBytes(),
        site.routers());
  }

  private UdpNode.OwnershipListener owner(Consumer<AddressLease> onAddressLost) {
    return new UdpNode.OwnershipListener() {
      @Override
      public void addressAcquired(int vrid) {
        // Nothing to do: the listeners check the lease at each request.
      }

      @Override
      public void addressReleased(int vrid) {
        onAddressLost.accept(lease(vrid));
      }
    };
  }

  private static InetSocketAddress socketAddress(String address) {
    Site.Address parsed = Site.Address.parse(address);
    return new InetSocketAddress(parsed.host(), parsed.port());
  }

  /** The lease that shows whether this front holds the shared address of a virtual router. */
  AddressLease lease(int vrid) {
    return node.lease(vrid);
  }

  void start() {
    if (node != null) {
      node.start();
    }
  }

  /** Leaves and waits for that, a second at most; partners take over at once. */
  void close() {
    if (node != null) {
      node.close();
    }
  }

  /** Leaves without waiting; partners are notified. */
  void leave() {
    if (node != null) {
      node.initiateShutdown();
    }
  }

  JsonObject state() {
    return node == null ? new JsonObject() : new JsonObject(node.snapshot());
  }
}
