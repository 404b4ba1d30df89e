package linengauge.lease;

/**
 * One of the few machines that keep leases, as every front's settings name it.
 *
 * @param number its number in the consensus group, below all fronts' numbers
 * @param region where it stands
 * @param address where it takes lease datagrams, as host:port in numbers
 */
public record ControlMachine(int number, int region, String address) {}
