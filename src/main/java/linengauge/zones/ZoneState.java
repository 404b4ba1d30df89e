package linengauge.zones;

/** The state of a zone or region in the table. */
public enum ZoneState {
  /** The zone serves its own viewers. */
  NEAR,
  /** The zone serves, but lacks capacity: a share of its new viewers is sent elsewhere. */
  SHARING,
  /** The zone receives no new viewers. */
  GIVEN_UP,
  /** The zone recovers: it serves a growing share of its new viewers. */
  COMING_BACK;

  /** Whether a transition is allowed; a zone that was given up returns only by COMING_BACK. */
  boolean mayBecome(ZoneState next) {
    return switch (this) {
      case NEAR, SHARING -> next != COMING_BACK;
      case GIVEN_UP -> next == COMING_BACK || next == GIVEN_UP;
      case COMING_BACK -> next != SHARING;
    };
  }
}
