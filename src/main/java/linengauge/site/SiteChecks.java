package linengauge.site;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.vrrp.NodeAddress;

/** Checks the consistency of a site file's settings, as far as the schema cannot express it. */
final class SiteChecks {
  private final String file;
  private final List<SiteFault> faults = new ArrayList<>();

  private SiteChecks(String file) {
    this.file = file;
  }

  static List<SiteFault> faults(String file, Site site) {
    SiteChecks checks = new SiteChecks(file);
    checks.checkFront(site);
    checks.checkPackages(site);
    checks.checkLimits(site);
    checks.checkWork(site);
    checks.checkMembers(site);
    checks.checkLease(site);
    checks.checkVrrp(site);
    return checks.faults;
  }

  private void require(boolean condition, String path, String what) {
    if (!condition) {
      faults.add(new SiteFault(file, path, 0, what));
    }
  }

  private void checkPort(String text, String path) {
    if (text != null) {
      int port = Site.Address.parse(text).port();
      require(port <= 65535, path, "port " + port + " is over 65535");
    }
  }

  private void checkFront(Site site) {
    require(
        site.front().number() < site.fronts().count(),
        "front.number",
        "must be under fronts.count, " + site.fronts().count());
    require(
        site.buildings().contains(site.front().building()),
        "front.building",
        "names no building of `buildings`");
    checkPort(site.front().viewers(), "front.viewers");
    checkPort(site.front().control(), "front.control");
    checkPort(site.front().words(), "front.words");
    checkPort(site.list().address(), "list.address");
    checkFrontAddresses(site);
    checkTitles(site);
  }

  /** Checks the datagram addresses of the fronts. */
  private void checkFrontAddresses(Site site) {
    Map<String, String> addresses = site.fronts().words();
    if (site.permits().messages() && site.fronts().count() > 1) {
      require(site.front().words() != null, "front.words", "needed where permits.messages is true");
      for (int i = 0; i < site.fronts().count(); i++) {
        boolean hasAddress =
            i == site.front().number() || addresses != null && addresses.containsKey("" + i);
        require(
            hasAddress,
            "fronts.words",
            "front " + i + " has no address, and permits.messages is true");
      }
    }
    if (addresses != null) {
      addresses.forEach(
          (number, address) -> {
            checkPort(address, "fronts.words");
            require(
                number.matches("[0-9]{1,5}") && Integer.parseInt(number) < site.fronts().count(),
                "fronts.words",
                "'" + number + "' is no front's number");
          });
    }
  }

  private void checkTitles(Site site) {
    Set<String> titles = new HashSet<>();
    int i = 0;
    for (Site.TitleCells title : site.titles().cells()) {
      String path = "titles.cells[" + i + "]";
      i++;
      require(titles.add(title.name()), path, "'" + title.name() + "' is named twice");
      require(
          title.first() < site.fleet().cells() && title.inRow() <= site.fleet().cells(),
          path,
          "beyond fleet.cells");
    }
  }

  private void checkPackages(Site site) {
    double last = 0;
    for (int i = 0; i < site.ladder().size(); i++) {
      require(site.ladder().get(i).kb() > last, "ladder[" + i + "].kb", "rates must rise");
      last = site.ladder().get(i).kb();
    }
    Set<String> names = new HashSet<>();
    int top = site.ladder().size() - 1;
    for (int i = 0; i < site.packages().size(); i++) {
      Site.Package pack = site.packages().get(i);
      String path = "packages[" + i + "]";
      int low = pack.lowestRung() == null ? 0 : pack.lowestRung();
      int high = pack.highestRung() == null ? top : pack.highestRung();
      require(names.add(pack.name()), path + ".name", "'" + pack.name() + "' is named twice");
      require(low <= top, path + ".lowestRung", "the ladder's highest rung is " + top);
      require(low <= high, path + ".lowestRung", "is over highestRung");
      require(
          pack.joinTargetMs() < site.viewers().longestPatienceMs(),
          path + ".joinTargetMs",
          "must be under viewers.longestPatienceMs: nobody could wait for it");
    }
  }

  private void checkLimits(Site site) {
    require(
        site.list().retryFirstMs() <= site.list().retryMostMs(),
        "list.retryFirstMs",
        "is over list.retryMostMs");
    require(
        site.desk().beatMs() < site.desk().lateBeatMs(),
        "desk.lateBeatMs",
        "must be over desk.beatMs");
    require(
        site.boxes().connectMs() <= site.boxes().firstByteMs(),
        "boxes.connectMs",
        "is over boxes.firstByteMs");
    require(
        site.desk().viewings() <= site.boxes().waitingEnds(),
        "boxes.waitingEnds",
        "must hold the ends of all desk.viewings at once");
    int grace = site.rules().drainGraceMs();
    require(
        site.boxes().connectMs() <= Math.max(grace, 1) || grace == 0,
        "boxes.connectMs",
        "is over rules.drainGraceMs: a set-up could wait for its connection past a drain's grace");
    require(
        site.rules().furtherMs() == 0
            || site.rules().furtherFree() + site.rules().furtherShare() > 0,
        "rules.furtherMs",
        "rationed to nothing: say permits.tuneIns 1 instead");
    checkFlow(site);
    require(
        site.stop().playingMs() <= site.desk().idleMs() * 100L,
        "stop.playingMs",
        "is out of all measure");
  }

  private void checkMembers(Site site) {
    Site.Members members = site.members();
    if (members.listen() == null) {
      require(members.seeds().isEmpty(), "members.listen", "needed where there are members.seeds");
      return;
    }
    checkNumericAddress(members.listen(), "members.listen");
    require(
        members.keyFile() != null,
        "members.keyFile",
        "needed: whoever could speak for any front could give up all of them");
    require(
        site.fronts().count() < 2 || !members.seeds().isEmpty(),
        "members.seeds",
        "needed: somebody to begin with");
    for (int i = 0; i < members.seeds().size(); i++) {
      checkNumericAddress(members.seeds().get(i), "members.seeds[" + i + "]");
    }
  }

  private void checkLease(Site site) {
    Site.Lease lease = site.lease();
    if (lease.control().isEmpty()) {
      require(lease.listen() == null, "lease.control", "needed where there is lease.listen");
      return;
    }
    require(lease.listen() != null, "lease.listen", "needed where there are control machines");
    if (lease.listen() != null) {
      checkNumericAddress(lease.listen(), "lease.listen");
    }
    require(
        lease.keyFile() != null,
        "lease.keyFile",
        "needed: whoever could speak for any front could end its lease");
    Set<Integer> numbers = new HashSet<>();
    for (int i = 0; i < lease.control().size(); i++) {
      Site.ControlMachine machine = lease.control().get(i);
      String path = "lease.control[" + i + "]";
      checkNumericAddress(machine.address(), path + ".address");
      require(
          machine.number() >= site.fronts().count(),
          path + ".number",
          "is a front's: must be fronts.count or more");
      require(numbers.add(machine.number()), path + ".number", "stands twice");
    }
  }

  /**
   * Requires a numeric address: other fronts receive it as written here, and a name lookup would
   * block the thread.
   */
  private void checkNumericAddress(String address, String path) {
    checkPort(address, path);
    require(
        Site.parseAddressLiteral(Site.Address.parse(address).host()) != null,
        path,
        "must be an address in numbers");
  }

  private void checkWork(Site site) {
    Site.Work work = site.work();
    require(
        work.deskMs() < work.windowMs(),
        "work.deskMs",
        "must be under work.windowMs: viewers come first");
    require(
        work.firstPauseMs() <= work.mostPauseMs(), "work.firstPauseMs", "is over work.mostPauseMs");
  }

  /** Checks the shared addresses, if there are any. */
  private void checkVrrp(Site site) {
    Site.Vrrp vrrp = site.vrrp();
    if (vrrp.routers().isEmpty()) {
      return;
    }
    NodeAddress ownAddress =
        vrrp.listen() == null
            ? null
            : Site.parseAddressLiteral(Site.Address.parse(vrrp.listen()).host());
    require(
        ownAddress != null,
        "vrrp.listen",
        "needed as an address where there are routers: ties are decided by it");
    require(!vrrp.partners().isEmpty(), "vrrp.partners", "a shared address wants a partner");
    checkPort(vrrp.listen(), "vrrp.listen");
    checkPort(vrrp.announce(), "vrrp.announce");
    checkPartners(vrrp, ownAddress);
    checkGroup(vrrp);
    require(
        vrrp.deafAfter() == 0 || vrrp.keyFile() != null,
        "vrrp.deafAfter",
        "wants vrrp.keyFile: without it, old datagrams sent again could hold the address back");
    Set<Integer> vrids = new HashSet<>();
    Set<String> listeners = new HashSet<>(Set.of(site.front().viewers(), site.front().control()));
    for (int i = 0; i < vrrp.routers().size(); i++) {
      Site.Router router = vrrp.routers().get(i);
      String path = "vrrp.routers[" + i + "]";
      require(vrids.add(router.vrid()), path + ".vrid", "stands twice");
      checkRouter(vrrp, router, path);
      checkSharedAddresses(router, ownAddress, path);
      checkRouterListener(router, listeners, path);
    }
  }

  private void checkPartners(Site.Vrrp vrrp, NodeAddress ownAddress) {
    Set<NodeAddress> partners = new HashSet<>();
    for (int i = 0; i < vrrp.partners().size(); i++) {
      String path = "vrrp.partners[" + i + "]";
      NodeAddress partner =
          Site.parseAddressLiteral(Site.Address.parse(vrrp.partners().get(i)).host());
      checkPort(vrrp.partners().get(i), path);
      require(partner != null, path, "must be an address: it is what a partner is known by");
      require(
          partner == null || partners.add(partner) && !partner.equals(ownAddress),
          path,
          "each partner has an address of its own");
      require(
          partner == null || ownAddress == null || partner.isIpv6() == ownAddress.isIpv6(),
          path,
          "of another family than vrrp.listen");
    }
  }

  private void checkGroup(Site.Vrrp vrrp) {
    if (vrrp.group() != null) {
      NodeAddress group = Site.parseAddressLiteral(Site.Address.parse(vrrp.group()).host());
      require(group != null && group.isMulticast(), "vrrp.group", "is no multicast address");
      require(
          vrrp.groupInterface() != null,
          "vrrp.groupInterface",
          "needed where there is a vrrp.group");
    }
  }

  private void checkRouter(Site.Vrrp vrrp, Site.Router router, String path) {
    require(
        router.advertMs() % 10 == 0, path + ".advertMs", "must be whole hundredths of a second");
    require(
        router.priority() < 255 || vrrp.unwellMinus() == 0,
        path + ".priority",
        "the owner of an address (255) cannot fall behind: vrrp.unwellMinus must be 0");
    require(
        vrrp.paceMs() <= 3 * router.advertMs(),
        "vrrp.paceMs",
        "is over three of " + path + ".advertMs: a loss would be taken over late");
  }

  private void checkSharedAddresses(Site.Router router, NodeAddress ownAddress, String path) {
    for (String address : router.addresses()) {
      NodeAddress shared = Site.parseAddressLiteral(address);
      require(shared != null, path + ".addresses", "'" + address + "' is no address");
      require(
          shared == null || ownAddress == null || shared.isIpv6() == ownAddress.isIpv6(),
          path + ".addresses",
          "'" + address + "' is of another family than vrrp.listen");
    }
  }

  private void checkRouterListener(Site.Router router, Set<String> listeners, String path) {
    boolean accepts = router.accept() || router.priority() == 255;
    require(
        !accepts || router.viewers() != null,
        path + ".viewers",
        "needed where viewers are taken by the shared address");
    checkPort(router.viewers(), path + ".viewers");
    require(
        router.viewers() == null || listeners.add(router.viewers()),
        path + ".viewers",
        "has a listener already");
  }

  /** Checks that the budgets of memory and time are consistent. */
  private void checkFlow(Site site) {
    Site.Flow flow = site.flow();
    Site.Viewers viewers = site.viewers();
    require(
        flow.beatMs() * 2 <= flow.evidenceMs(),
        "flow.evidenceMs",
        "must take two looks of flow.beatMs at least");
    require(
        flow.evidenceMs() <= flow.windowMs(),
        "flow.evidenceMs",
        "is over flow.windowMs: nobody could ever be found slow");
    require(
        flow.transfers() >= site.desk().viewings(),
        "flow.transfers",
        "must be desk.viewings at least, or one viewing's transfer could be turned away for another's");
    require(
        site.floors() <= flow.waitingBytes() * 9 / 10,
        "flow.waitingBytes",
        "the floors of flow.transfers transfers on "
            + viewers.loops()
            + " loops take "
            + site.floors()
            + " bytes, and a tenth must be left to share");
    require(
        flow.floorBytes() <= viewers.writeBufferBytes(),
        "flow.floorBytes",
        "is over viewers.writeBufferBytes");
    checkMediaConnections(site);
    require(
        site.desk().idleMs() >= flow.lateMs() * 2, "desk.idleMs", "must be over twice flow.lateMs");
    for (int i = 0; i < site.packages().size(); i++) {
      require(
          site.packages().get(i).joinTargetMs() > flow.beatMs(),
          "flow.beatMs",
          "is over the join target of packages[" + i + "]");
    }
  }

  private void checkMediaConnections(Site site) {
    int streams =
        Math.min(
            site.desk().viewings(),
            site.fleet().kinds().stream().mapToInt(Site.Kind::streams).max().orElse(0));
    require(
        site.boxes().mediaConnections() >= (long) site.viewers().atOnce() * streams,
        "boxes.mediaConnections",
        "must hold viewers.atOnce "
            + "transfers for each of "
            + streams
            + " viewings of one box, or slow readers keep others waiting for a place");
  }
}
