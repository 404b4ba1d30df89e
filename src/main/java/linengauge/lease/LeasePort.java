package linengauge.lease;

/** Through which the cores of membership by lease act. */
public interface LeasePort {
  /** To that address, host:port in numbers; to be lost if need be. */
  void send(String address, LeaseMessage message);
}
