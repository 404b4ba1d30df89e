package linengauge.site;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a site file is invalid; the message has one line per fault. */
public final class InvalidSiteException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<SiteFault> faults;

  InvalidSiteException(List<SiteFault> faults) {
    super(faults.stream().map(SiteFault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  public List<SiteFault> faults() {
    return faults;
  }
}
