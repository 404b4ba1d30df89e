package linengauge.site;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.vrrp.NodeAddress;

/** What a schema cannot say: that the parts of a site file hold together. */
final class SiteChecks {
  private final String file;
  private final List<SiteFault> faults = new ArrayList<>();

  private SiteChecks(String file) {
    this.file = file;
  }

  static List<SiteFault> faults(String file, Site site) {
    SiteChecks checks = new SiteChecks(file);
    checks.place(site);
    checks.packages(site);
    checks.bounds(site);
    checks.work(site);
    checks.members(site);
    checks.lease(site);
    checks.vrrp(site);
    return checks.faults;
  }

  private void wants(boolean held, String path, String what) {
    if (!held) {
      faults.add(new SiteFault(file, path, 0, what));
    }
  }

  private void address(String text, String path) {
    if (text != null) {
      int port = Site.Address.parse(text).port();
      wants(port <= 65535, path, "port " + port + " is over 65535");
    }
  }

  private void place(Site s) {
    wants(
        s.front().number() < s.fronts().count(),
        "front.number",
        "must be under fronts.count, " + s.fronts().count());
    wants(
        s.buildings().contains(s.front().building()),
        "front.building",
        "names no building of `buildings`");
    address(s.front().viewers(), "front.viewers");
    address(s.front().control(), "front.control");
    address(s.front().words(), "front.words");
    address(s.list().address(), "list.address");
    frontAddresses(s);
    titles(s);
  }

  /** Where the fronts' datagrams are heard. */
  private void frontAddresses(Site s) {
    Map<String, String> addresses = s.fronts().words();
    if (s.permits().messages() && s.fronts().count() > 1) {
      wants(s.front().words() != null, "front.words", "needed where permits.messages is true");
      for (int i = 0; i < s.fronts().count(); i++) {
        boolean there =
            i == s.front().number() || addresses != null && addresses.containsKey("" + i);
        wants(
            there, "fronts.words", "front " + i + " has no address, and permits.messages is true");
      }
    }
    if (addresses != null) {
      addresses.forEach(
          (number, at) -> {
            address(at, "fronts.words");
            wants(
                number.matches("[0-9]{1,5}") && Integer.parseInt(number) < s.fronts().count(),
                "fronts.words",
                "'" + number + "' is no front's number");
          });
    }
  }

  private void titles(Site s) {
    Set<String> titles = new HashSet<>();
    int i = 0;
    for (Site.TitleCells t : s.titles().cells()) {
      String path = "titles.cells[" + i + "]";
      i++;
      wants(titles.add(t.name()), path, "'" + t.name() + "' is named twice");
      wants(
          t.first() < s.fleet().cells() && t.inRow() <= s.fleet().cells(),
          path,
          "beyond fleet.cells");
    }
  }

  private void packages(Site s) {
    double last = 0;
    for (int i = 0; i < s.ladder().size(); i++) {
      wants(s.ladder().get(i).kb() > last, "ladder[" + i + "].kb", "rates must rise");
      last = s.ladder().get(i).kb();
    }
    Set<String> names = new HashSet<>();
    int top = s.ladder().size() - 1;
    for (int i = 0; i < s.packages().size(); i++) {
      Site.Package p = s.packages().get(i);
      String path = "packages[" + i + "]";
      int low = p.lowestRung() == null ? 0 : p.lowestRung();
      int high = p.highestRung() == null ? top : p.highestRung();
      wants(names.add(p.name()), path + ".name", "'" + p.name() + "' is named twice");
      wants(low <= top, path + ".lowestRung", "the ladder's highest rung is " + top);
      wants(low <= high, path + ".lowestRung", "is over highestRung");
      wants(
          p.joinTargetMs() < s.viewers().longestPatienceMs(),
          path + ".joinTargetMs",
          "must be under viewers.longestPatienceMs: nobody could wait for it");
    }
  }

  private void bounds(Site s) {
    wants(
        s.list().retryFirstMs() <= s.list().retryMostMs(),
        "list.retryFirstMs",
        "is over list.retryMostMs");
    wants(s.desk().beatMs() < s.desk().lateBeatMs(), "desk.lateBeatMs", "must be over desk.beatMs");
    wants(
        s.boxes().connectMs() <= s.boxes().firstByteMs(),
        "boxes.connectMs",
        "is over boxes.firstByteMs");
    wants(
        s.desk().viewings() <= s.boxes().waitingEnds(),
        "boxes.waitingEnds",
        "must hold the ends of all desk.viewings at once");
    int grace = s.rules().drainGraceMs();
    wants(
        s.boxes().connectMs() <= Math.max(grace, 1) || grace == 0,
        "boxes.connectMs",
        "is over rules.drainGraceMs: a set-up could wait for its connection past a drain's grace");
    wants(
        s.rules().furtherMs() == 0 || s.rules().furtherFree() + s.rules().furtherShare() > 0,
        "rules.furtherMs",
        "rationed to nothing: say permits.tuneIns 1 instead");
    flow(s);
    wants(
        s.stop().playingMs() <= s.desk().idleMs() * 100L,
        "stop.playingMs",
        "is out of all measure");
  }

  private void members(Site s) {
    Site.Members m = s.members();
    if (m.listen() == null) {
      wants(m.seeds().isEmpty(), "members.listen", "needed where there are members.seeds");
      return;
    }
    inNumbers(m.listen(), "members.listen");
    wants(
        m.keyFile() != null,
        "members.keyFile",
        "needed: whoever could speak for any front could give up all of them");
    wants(
        s.fronts().count() < 2 || !m.seeds().isEmpty(),
        "members.seeds",
        "needed: somebody to begin with");
    for (int i = 0; i < m.seeds().size(); i++) {
      inNumbers(m.seeds().get(i), "members.seeds[" + i + "]");
    }
  }

  private void lease(Site s) {
    Site.Lease lease = s.lease();
    if (lease.control().isEmpty()) {
      wants(lease.listen() == null, "lease.control", "needed where there is lease.listen");
      return;
    }
    wants(lease.listen() != null, "lease.listen", "needed where there are control machines");
    if (lease.listen() != null) {
      inNumbers(lease.listen(), "lease.listen");
    }
    wants(
        lease.keyFile() != null,
        "lease.keyFile",
        "needed: whoever could speak for any front could end its lease");
    Set<Integer> numbers = new HashSet<>();
    for (int i = 0; i < lease.control().size(); i++) {
      Site.ControlMachine machine = lease.control().get(i);
      String path = "lease.control[" + i + "]";
      inNumbers(machine.address(), path + ".address");
      wants(
          machine.number() >= s.fronts().count(),
          path + ".number",
          "is a front's: must be fronts.count or more");
      wants(numbers.add(machine.number()), path + ".number", "stands twice");
    }
  }

  /** The others are told it as it stands here, and nobody looks names up while others wait. */
  private void inNumbers(String address, String path) {
    address(address, path);
    wants(
        Site.parseAddressLiteral(Site.Address.parse(address).host()) != null,
        path,
        "must be an address in numbers");
  }

  private void work(Site s) {
    Site.Work w = s.work();
    wants(
        w.deskMs() < w.windowMs(),
        "work.deskMs",
        "must be under work.windowMs: viewers come first");
    wants(w.firstPauseMs() <= w.mostPauseMs(), "work.firstPauseMs", "is over work.mostPauseMs");
  }

  /** Shared addresses, where there are any. */
  private void vrrp(Site s) {
    Site.Vrrp v = s.vrrp();
    if (v.routers().isEmpty()) {
      return;
    }
    NodeAddress own =
        v.listen() == null ? null : Site.parseAddressLiteral(Site.Address.parse(v.listen()).host());
    wants(
        own != null,
        "vrrp.listen",
        "needed as an address where there are routers: ties are decided by it");
    wants(!v.partners().isEmpty(), "vrrp.partners", "a shared address wants a partner");
    address(v.listen(), "vrrp.listen");
    address(v.announce(), "vrrp.announce");
    partners(v, own);
    group(v);
    wants(
        v.deafAfter() == 0 || v.keyFile() != null,
        "vrrp.deafAfter",
        "wants vrrp.keyFile: without it, old datagrams sent again could hold the address back");
    Set<Integer> vrids = new HashSet<>();
    Set<String> listeners = new HashSet<>(Set.of(s.front().viewers(), s.front().control()));
    for (int i = 0; i < v.routers().size(); i++) {
      Site.Router r = v.routers().get(i);
      String path = "vrrp.routers[" + i + "]";
      wants(vrids.add(r.vrid()), path + ".vrid", "stands twice");
      routerTerms(v, r, path);
      sharedAddresses(r, own, path);
      viewersOf(r, listeners, path);
    }
  }

  private void partners(Site.Vrrp v, NodeAddress own) {
    Set<NodeAddress> partners = new HashSet<>();
    for (int i = 0; i < v.partners().size(); i++) {
      String path = "vrrp.partners[" + i + "]";
      NodeAddress p = Site.parseAddressLiteral(Site.Address.parse(v.partners().get(i)).host());
      address(v.partners().get(i), path);
      wants(p != null, path, "must be an address: it is what a partner is known by");
      wants(
          p == null || partners.add(p) && !p.equals(own),
          path,
          "each partner has an address of its own");
      wants(
          p == null || own == null || p.isIpv6() == own.isIpv6(),
          path,
          "of another family than vrrp.listen");
    }
  }

  private void group(Site.Vrrp v) {
    if (v.group() != null) {
      NodeAddress group = Site.parseAddressLiteral(Site.Address.parse(v.group()).host());
      wants(group != null && group.isMulticast(), "vrrp.group", "is no multicast address");
      wants(
          v.groupInterface() != null, "vrrp.groupInterface", "needed where there is a vrrp.group");
    }
  }

  private void routerTerms(Site.Vrrp v, Site.Router r, String path) {
    wants(r.advertMs() % 10 == 0, path + ".advertMs", "must be whole hundredths of a second");
    wants(
        r.priority() < 255 || v.unwellMinus() == 0,
        path + ".priority",
        "the owner of an address (255) cannot fall behind: vrrp.unwellMinus must be 0");
    wants(
        v.paceMs() <= 3 * r.advertMs(),
        "vrrp.paceMs",
        "is over three of " + path + ".advertMs: a loss would be taken over late");
  }

  private void sharedAddresses(Site.Router r, NodeAddress own, String path) {
    for (String a : r.addresses()) {
      NodeAddress shared = Site.parseAddressLiteral(a);
      wants(shared != null, path + ".addresses", "'" + a + "' is no address");
      wants(
          shared == null || own == null || shared.isIpv6() == own.isIpv6(),
          path + ".addresses",
          "'" + a + "' is of another family than vrrp.listen");
    }
  }

  private void viewersOf(Site.Router r, Set<String> listeners, String path) {
    boolean takes = r.accept() || r.priority() == 255;
    wants(
        !takes || r.viewers() != null,
        path + ".viewers",
        "needed where viewers are taken by the shared address");
    address(r.viewers(), path + ".viewers");
    wants(
        r.viewers() == null || listeners.add(r.viewers()),
        path + ".viewers",
        "has a listener already");
  }

  /** Budgets that cannot hold together. */
  private void flow(Site s) {
    Site.Flow f = s.flow();
    Site.Viewers v = s.viewers();
    wants(
        f.beatMs() * 2 <= f.evidenceMs(),
        "flow.evidenceMs",
        "must take two looks of flow.beatMs at least");
    wants(
        f.evidenceMs() <= f.windowMs(),
        "flow.evidenceMs",
        "is over flow.windowMs: nobody could ever be found slow");
    wants(
        f.transfers() >= s.desk().viewings(),
        "flow.transfers",
        "must be desk.viewings at least, or one viewing's transfer could be turned away for another's");
    wants(
        s.floors() <= f.waitingBytes() * 9 / 10,
        "flow.waitingBytes",
        "the floors of flow.transfers transfers on "
            + v.loops()
            + " loops take "
            + s.floors()
            + " bytes, and a tenth must be left to share");
    wants(
        f.floorBytes() <= v.writeBufferBytes(),
        "flow.floorBytes",
        "is over viewers.writeBufferBytes");
    transfersOfOneBox(s);
    wants(s.desk().idleMs() >= f.lateMs() * 2, "desk.idleMs", "must be over twice flow.lateMs");
    for (int i = 0; i < s.packages().size(); i++) {
      wants(
          s.packages().get(i).joinTargetMs() > f.beatMs(),
          "flow.beatMs",
          "is over the join target of packages[" + i + "]");
    }
  }

  private void transfersOfOneBox(Site s) {
    int streams =
        Math.min(
            s.desk().viewings(),
            s.fleet().kinds().stream().mapToInt(Site.Kind::streams).max().orElse(0));
    wants(
        s.boxes().mediaConnections() >= (long) s.viewers().atOnce() * streams,
        "boxes.mediaConnections",
        "must hold viewers.atOnce "
            + "transfers for each of "
            + streams
            + " viewings of one box, or slow readers keep others waiting for a place");
  }
}
